package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gingerfork/internal/haproxy"
)

type importCmd struct {
	Haproxy haproxyCmd `cmd:"" name:"haproxy" help:"Import HAProxy's configuration format. Example: gingerfork import haproxy -o imported web.cfg"`
}

type haproxyCmd struct {
	Files    []string          `arg:"" optional:"" help:"Files, in the order in which HAProxy would read them."`
	Out      string            `short:"o" help:"Write each pool's settings and list to this folder." placeholder:"DIR"`
	Env      map[string]string `help:"A variable that the files use; none is taken from the real environment." placeholder:"NAME=VALUE"`
	Version  string            `help:"The version that version_atleast and version_before are answered for." default:"3.0"`
	Feature  []string          `help:"A feature that the predicate feature finds; others are not there." placeholder:"NAME"`
	JSON     bool              `help:"Print what became of each line as JSON."`
	Strict   bool              `help:"Fail if anything is not carried exactly."`
	Keywords bool              `help:"Print what becomes of each keyword. Example: gingerfork import haproxy --keywords > docs/haproxy-keywords.md"`
	Diff     bool              `help:"Tell what changes on the list between two files, the old and the new."`
}

func (c haproxyCmd) read(files ...string) (haproxy.Import, error) {
	var all []haproxy.Source
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return haproxy.Import{}, fmt.Errorf("read what to import: %w", err)
		}
		all = append(all, haproxy.Source{Name: f, Text: string(text)})
	}
	return haproxy.Read(all, haproxy.Environment{Variables: c.Env, Version: c.Version, Features: c.Feature}), nil
}

func (c haproxyCmd) Run(p *program) error {
	if c.Keywords {
		haproxy.WriteKeywords(p.out)
		return nil
	}
	if len(c.Files) == 0 {
		return errors.New("no file to import was given")
	}
	if c.Diff {
		return c.diff(p)
	}
	got, err := c.read(c.Files...)
	if err != nil {
		return err
	}
	n := got.Counts()
	if c.JSON {
		type note struct {
			File string `json:"file"`
			Line int    `json:"line"`
			Col  int    `json:"column"`
			Text string `json:"text"`
			What string `json:"what"`
			Why  string `json:"why,omitempty"`
		}
		var notes []note
		for _, x := range got.Notes {
			notes = append(notes, note{x.Line.File, x.Line.Line, x.Line.Column, x.Text(), x.Class.String(), x.Reason})
		}
		for _, f := range got.Faults {
			notes = append(notes, note{f.File, f.Line, f.Column, "", "refused", f.Message})
		}
		if err := json.NewEncoder(p.out).Encode(map[string]any{"pools": len(got.Pools), "notes": notes}); err != nil {
			return err
		}
	} else {
		for _, x := range got.Notes {
			if x.Class != haproxy.Carried {
				fmt.Fprintf(p.err, "%s: %s: %s: %s\n", x.Line.Position, x.Class, x.Text(), x.Reason)
			}
		}
		for _, f := range got.Faults {
			fmt.Fprintf(p.err, "%s: refused: %s\n", f.Position, f.Message)
		}
		fmt.Fprintf(p.err, "%d pools; %d carried, %d with a difference, %d not carried, %d refused\n", len(got.Pools), n[haproxy.Carried],
			n[haproxy.Differs], n[haproxy.Dropped], len(got.Faults))
	}
	if len(got.Faults) > 0 {
		return badError{errors.New("nothing was written: the files are at fault")}
	}
	if c.Out != "" {
		if err := c.write(got); err != nil {
			return err
		}
	}
	if c.Strict && n[haproxy.Differs]+n[haproxy.Dropped] > 0 {
		return badError{errors.New("not all is carried exactly")}
	}
	return nil
}

func (c haproxyCmd) write(got haproxy.Import) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("make the folder for what is imported: %w", err)
	}
	if len(got.Routes) > 0 {
		var b strings.Builder
		for _, r := range got.Routes {
			fmt.Fprintln(&b, r)
		}
		if err := os.WriteFile(filepath.Join(c.Out, "routes"), []byte(b.String()), 0o644); err != nil {
			return fmt.Errorf("write what is imported: %w", err)
		}
	}
	for _, pool := range got.Pools {
		if strings.ContainsAny(pool.Name, "/\\") || strings.HasPrefix(pool.Name, ".") {
			return fmt.Errorf("pool %q can't name a file", pool.Name)
		}
		for end, text := range map[string]string{".conf": pool.Settings(got.Routes), ".list": pool.List()} {
			if err := os.WriteFile(filepath.Join(c.Out, pool.Name+end), []byte(text), 0o644); err != nil {
				return fmt.Errorf("write what is imported: %w", err)
			}
		}
	}
	return nil
}

func (c haproxyCmd) diff(p *program) error {
	if len(c.Files) != 2 {
		return errors.New("--diff takes the old file and the new one")
	}
	old, err := c.read(c.Files[0])
	if err != nil {
		return err
	}
	now, err := c.read(c.Files[1])
	if err != nil {
		return err
	}
	bad := slices.Concat(old.Faults, now.Faults)
	for _, f := range bad {
		fmt.Fprintf(p.err, "%s: refused: %s\n", f.Position, f.Message)
	}
	if len(bad) > 0 {
		return badError{errors.New("the files are at fault")}
	}
	word := func(s string) string {
		if s == "" {
			return "not listed"
		}
		return s
	}
	for _, x := range haproxy.Diff(old, now) {
		fmt.Fprintf(p.out, "%s/%s: %s -> %s\n", x.Pool, x.Server, word(x.Before), word(x.After))
	}
	return nil
}
