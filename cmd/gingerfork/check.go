package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/configcheck"
)

type checkCmd struct {
	Files []string `arg:"" help:"Settings files, scenario files (name ends in .day), or route files (named routes, or name ends in .routes)."`
}

// Run checks each file. It prints the errors and warnings of a file on standard error.
func (c checkCmd) Run(cli *program) error {
	failed := 0
	for _, file := range c.Files {
		if err := checkFile(file); err != nil {
			failed++
			fmt.Fprintln(cli.err, err)
			continue
		}
		fmt.Fprintf(cli.out, "%s: valid\n", file)
		if settings, err := bootstrap.Read(file); err == nil {
			for _, warning := range configcheck.Warnings(settings.CoordinatorConfig(0)) {
				fmt.Fprintf(cli.err, "%s: warning: %s\n", file, warning)
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d files are invalid", failed, len(c.Files))
	}
	return nil
}

// checkFile parses a file and returns its errors. The file name determines whether it is read as routes, scenario or settings.
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

// Run prints the reference of all settings keywords, which is docs/settings.md.
func (settingsCmd) Run(cli *program) error { //nolint:unparam // kong asks for the error
	fmt.Fprint(cli.out, bootstrap.ReferencePage())
	return nil
}
