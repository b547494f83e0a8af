package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gingerfork/internal/haproxy"
)

// notListed is printed for a server that is not on a list.
const notListed = "not listed"

var (
	errNoImportFile  = errors.New("no file to import was given")
	errImportRefused = errors.New("nothing was written: the files are at fault")
	errImportInexact = errors.New("not all is carried exactly")
	errDiffFiles     = errors.New("--diff takes the old file and the new one")
	errFilesAtFault  = errors.New("the files are at fault")
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

// read parses files as HAProxy would if it were given them in this order.
func (c haproxyCmd) read(files ...string) (haproxy.Import, error) {
	sources := make([]haproxy.Source, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return haproxy.Import{}, fmt.Errorf("read what to import: %w", err)
		}
		sources = append(sources, haproxy.Source{Name: file, Text: string(text)})
	}
	return haproxy.Read(sources, haproxy.Environment{Variables: c.Env, Version: c.Version, Features: c.Feature}), nil
}

// Run imports the files, or does what one of the flags asks for instead.
func (c haproxyCmd) Run(cli *program) error {
	if c.Keywords {
		haproxy.WriteKeywords(cli.out)
		return nil
	}
	if len(c.Files) == 0 {
		return errNoImportFile
	}
	if c.Diff {
		return c.diff(cli)
	}
	imported, err := c.read(c.Files...)
	if err != nil {
		return err
	}
	counts := imported.Counts()
	if c.JSON {
		if err := printImportJSON(cli, &imported); err != nil {
			return err
		}
	} else {
		printImport(cli, &imported)
	}
	if len(imported.Faults) > 0 {
		return errImportRefused
	}
	if c.Out != "" {
		if err := c.write(imported); err != nil {
			return err
		}
	}
	if c.Strict && counts[haproxy.Differs]+counts[haproxy.Dropped] > 0 {
		return errImportInexact
	}
	return nil
}

// importNote is what became of one line, in the JSON output.
type importNote struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
	Class  string `json:"what"`
	Reason string `json:"why,omitempty"`
}

// printImportJSON prints what became of each line as one line of JSON.
func printImportJSON(cli *program, imported *haproxy.Import) error {
	// Grow leaves the slice nil, and so null in the output, when there are no notes.
	notes := slices.Grow([]importNote(nil), len(imported.Notes)+len(imported.Faults))
	for _, note := range imported.Notes {
		notes = append(notes, importNote{note.Line.File, note.Line.Line, note.Line.Column, note.Text(), note.Class.String(), note.Reason})
	}
	for _, fault := range imported.Faults {
		notes = append(notes, importNote{fault.File, fault.Line, fault.Column, "", "refused", fault.Message})
	}
	if err := json.NewEncoder(cli.out).Encode(map[string]any{"pools": len(imported.Pools), "notes": notes}); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// printImport reports on standard error what was not carried exactly.
func printImport(cli *program, imported *haproxy.Import) {
	for _, note := range imported.Notes {
		if note.Class != haproxy.Carried {
			fmt.Fprintf(cli.err, "%s: %s: %s: %s\n", note.Line.Position, note.Class, note.Text(), note.Reason)
		}
	}
	printFaults(cli, imported.Faults)
	counts := imported.Counts()
	fmt.Fprintf(cli.err, "%d pools; %d carried, %d with a difference, %d not carried, %d refused\n", len(imported.Pools), counts[haproxy.Carried],
		counts[haproxy.Differs], counts[haproxy.Dropped], len(imported.Faults))
}

func printFaults(cli *program, faults []haproxy.Fault) {
	for _, fault := range faults {
		fmt.Fprintf(cli.err, "%s: refused: %s\n", fault.Position, fault.Message)
	}
}

// write writes the routes, and each pool's settings and list.
func (c haproxyCmd) write(imported haproxy.Import) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("make the folder for what is imported: %w", err)
	}
	if len(imported.Routes) > 0 {
		var b strings.Builder
		for _, r := range imported.Routes {
			fmt.Fprintln(&b, r)
		}
		if err := os.WriteFile(filepath.Join(c.Out, "routes"), []byte(b.String()), 0o644); err != nil {
			return fmt.Errorf("write what is imported: %w", err)
		}
	}
	for _, pool := range imported.Pools {
		if strings.ContainsAny(pool.Name, "/\\") || strings.HasPrefix(pool.Name, ".") {
			return fmt.Errorf("pool %q can't name a file", pool.Name)
		}
		for end, text := range map[string]string{".conf": pool.Settings(imported.Routes), ".list": pool.List()} {
			if err := os.WriteFile(filepath.Join(c.Out, pool.Name+end), []byte(text), 0o644); err != nil {
				return fmt.Errorf("write what is imported: %w", err)
			}
		}
	}
	return nil
}

// diff prints how the list of servers differs between two files.
func (c haproxyCmd) diff(cli *program) error {
	if len(c.Files) != 2 {
		return errDiffFiles
	}
	before, err := c.read(c.Files[0])
	if err != nil {
		return err
	}
	after, err := c.read(c.Files[1])
	if err != nil {
		return err
	}
	if faults := slices.Concat(before.Faults, after.Faults); len(faults) > 0 {
		printFaults(cli, faults)
		return errFilesAtFault
	}
	for _, change := range haproxy.Diff(before, after) {
		fmt.Fprintf(cli.out, "%s/%s: %s -> %s\n", change.Pool, change.Server, cmp.Or(change.Before, notListed), cmp.Or(change.After, notListed))
	}
	return nil
}
