package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/configcheck"
	"gingerfork/internal/scenario"
)

type checkCmd struct {
	Files []string `arg:"" help:"Settings files, days (files that end in .day), or routes (files named routes, or that end in .routes)."`
}

func (c checkCmd) Run(p *program) error {
	failed := 0
	for _, f := range c.Files {
		if err := check(f); err != nil {
			failed++
			fmt.Fprintln(p.err, err)
			continue
		}
		fmt.Fprintf(p.out, "%s: good\n", f)
		if t, err := bootstrap.Read(f); err == nil {
			for _, h := range configcheck.Warnings(t.CoordinatorConfig(0)) {
				fmt.Fprintf(p.err, "%s: a doubt: %s\n", f, h)
			}
		}
	}
	if failed > 0 {
		return badError{fmt.Errorf("%d of %d files are bad", failed, len(c.Files))}
	}
	return nil
}

func check(file string) error {
	if filepath.Base(file) == "routes" || strings.HasSuffix(file, ".routes") {
		_, err := readRoutes(file)
		return err
	}
	if !strings.HasSuffix(file, ".day") {
		_, err := bootstrap.Read(file)
		return err
	}
	_, err := readDay(file)
	return err
}

// readDay reads a day from a file, or one that comes with the program by its name.
func readDay(name string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(name)
	if err == nil {
		return scenario.Read(name, string(text), func(file string) ([]byte, error) {
			if data, err := os.ReadFile(filepath.Join(filepath.Dir(name), file)); err == nil {
				return data, nil
			}
			data, err := scenario.File(file)
			if err != nil {
				return nil, fmt.Errorf("%s is neither beside the day nor among the settings that come with the program", file)
			}
			return data, nil
		})
	}
	text, own := scenario.File(name + ".day")
	if own != nil {
		var p *os.PathError
		if errors.As(err, &p) {
			err = p.Err
		}
		return nil, fmt.Errorf("%s: %w, and no day of that name comes with the program (those that do: %s)", name, err, strings.Join(scenario.Builtin(), ", "))
	}
	return scenario.Read(name+".day", string(text), scenario.File)
}

type settingsCmd struct{}

func (settingsCmd) Run(p *program) error { //nolint:unparam // kong asks for the error
	fmt.Fprint(p.out, bootstrap.Document())
	return nil
}
