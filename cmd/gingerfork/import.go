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

// notListed is printed instead of the properties of a server that one of two compared files does not list.
const notListed = "not listed"

var (
	errNoImportFile  = errors.New("import: no file given")
	errImportRefused = errors.New("nothing was written: the files contain errors")
	errImportInexact = errors.New("some lines were not imported exactly")
	errDiffFiles     = errors.New("--diff needs two files, the old one and the new one")
	errInvalidFiles  = errors.New("the files contain errors")
)

type importCmd struct {
	Haproxy haproxyCmd `cmd:"" name:"haproxy" help:"Import HAProxy configuration files. Example: gingerfork import haproxy -o imported web.cfg"`
}

type haproxyCmd struct {
	Files    []string          `arg:"" optional:"" help:"HAProxy configuration files, in the order in which HAProxy would read them."`
	Out      string            `short:"o" help:"Write the settings and the endpoint list of each pool to this folder." placeholder:"DIR"`
	Env      map[string]string `help:"Value of an environment variable that the files use; the real environment is not read." placeholder:"NAME=VALUE"`
	Version  string            `help:"HAProxy version that the predicates version_atleast and version_before compare with." default:"3.0"`
	Feature  []string          `help:"Feature for which the predicate feature is true; it is false for all others." placeholder:"NAME"`
	JSON     bool              `help:"Print the result for each line as JSON."`
	Strict   bool              `help:"Fail if anything cannot be imported exactly."`
	Keywords bool              `help:"Print how each keyword is imported. Example: gingerfork import haproxy --keywords > docs/haproxy-keywords.md"`
	Diff     bool              `help:"Print how the server lists of two files differ, the old file and the new one."`
}

// read parses files as HAProxy would when given them in this order.
func (c haproxyCmd) read(files ...string) (haproxy.Import, error) {
	sources := make([]haproxy.Source, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return haproxy.Import{}, fmt.Errorf("read the file to import: %w", err)
		}
		sources = append(sources, haproxy.Source{Name: file, Text: string(text)})
	}
	return haproxy.Read(sources, haproxy.Environment{Variables: c.Env, Version: c.Version, Features: c.Feature}), nil
}

// Run imports the files; with --keywords or --diff it prints the keywords or the difference of two files instead.
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

// importNote is the result for one line, in the JSON output.
type importNote struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
	Class  string `json:"what"`
	Reason string `json:"why,omitempty"`
}

// printImportJSON prints the number of pools and the result for each line as one JSON object.
func printImportJSON(cli *program, imported *haproxy.Import) error {
	// slices.Grow by 0 leaves the slice nil, which encodes as null when there are no notes.
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

// printImport prints to standard error what was not imported exactly, the errors, and the counts of each.
func printImport(cli *program, imported *haproxy.Import) {
	for _, note := range imported.Notes {
		if note.Class != haproxy.Carried {
			fmt.Fprintf(cli.err, "%s: %s: %s: %s\n", note.Line.Position, note.Class, note.Text(), note.Reason)
		}
	}
	printFaults(cli, imported.Faults)
	counts := imported.Counts()
	fmt.Fprintf(cli.err, "%d pools; %d carried, %d carried with a difference, %d not carried, %d refused\n", len(imported.Pools), counts[haproxy.Carried],
		counts[haproxy.Differs], counts[haproxy.Dropped], len(imported.Faults))
}

// printFaults prints the errors of the imported files to standard error.
func printFaults(cli *program, faults []haproxy.Fault) {
	for _, fault := range faults {
		fmt.Fprintf(cli.err, "%s: refused: %s\n", fault.Position, fault.Message)
	}
}

// write writes the routes, and the settings and the endpoint list of each pool, to the output folder.
func (c haproxyCmd) write(imported haproxy.Import) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("create the output folder: %w", err)
	}
	if len(imported.Routes) > 0 {
		var b strings.Builder
		for _, r := range imported.Routes {
			fmt.Fprintln(&b, r)
		}
		if err := os.WriteFile(filepath.Join(c.Out, "routes"), []byte(b.String()), 0o644); err != nil {
			return fmt.Errorf("write the routes: %w", err)
		}
	}
	for _, pool := range imported.Pools {
		if strings.ContainsAny(pool.Name, "/\\") || strings.HasPrefix(pool.Name, ".") {
			return fmt.Errorf("pool name %q cannot be used as a file name", pool.Name)
		}
		for suffix, text := range map[string]string{".conf": pool.Settings(imported.Routes), ".list": pool.EndpointList()} {
			if err := os.WriteFile(filepath.Join(c.Out, pool.Name+suffix), []byte(text), 0o644); err != nil {
				return fmt.Errorf("write pool %q: %w", pool.Name, err)
			}
		}
	}
	return nil
}

// diff prints how the server lists of two files differ.
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
		return errInvalidFiles
	}
	for _, change := range haproxy.Diff(before, after) {
		fmt.Fprintf(cli.out, "%s/%s: %s -> %s\n", change.Pool, change.Server, cmp.Or(change.Before, notListed), cmp.Or(change.After, notListed))
	}
	return nil
}
