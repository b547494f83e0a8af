package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/configcheck"
)

type checkCmd struct {
	Files []string `arg:"" help:"Settings files, scenarios (files that end in .day), or routes (files named routes, or that end in .routes)."`
}

// Run reports the faults of each file on standard error.
func (c checkCmd) Run(cli *program) error {
	failed := 0
	for _, file := range c.Files {
		if err := checkFile(file); err != nil {
			failed++
			fmt.Fprintln(cli.err, err)
			continue
		}
		fmt.Fprintf(cli.out, "%s: good\n", file)
		if settings, err := bootstrap.Read(file); err == nil {
			for _, warning := range configcheck.Warnings(settings.CoordinatorConfig(0)) {
				fmt.Fprintf(cli.err, "%s: a doubt: %s\n", file, warning)
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d files are bad", failed, len(c.Files))
	}
	return nil
}

// checkFile returns the faults of a file, whose name tells what it holds.
func checkFile(file string) error {
	var err error
	switch {
	case filepath.Base(file) == "routes" || strings.HasSuffix(file, ".routes"):
		_, err = readRoutes(file)
	case strings.HasSuffix(file, scenarioSuffix):
		_, err = readScenario(file)
	default:
		_, err = bootstrap.Read(file)
	}
	return err
}

type settingsCmd struct{}

// Run prints the documentation of the settings.
func (settingsCmd) Run(cli *program) error { //nolint:unparam // kong asks for the error
	fmt.Fprint(cli.out, bootstrap.Document())
	return nil
}
