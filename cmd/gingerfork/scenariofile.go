package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gingerfork/internal/scenario"
)

// scenarioSuffix is the file name extension of scenarios.
const scenarioSuffix = ".day"

// readScenario reads a scenario from the file of that name or, if there is none, the built-in scenario of that name.
func readScenario(name string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(name)
	if err == nil {
		return scenario.Read(name, string(text), scenarioSettingsReader(name))
	}
	text, builtinErr := scenario.File(name + scenarioSuffix)
	if builtinErr != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, fmt.Errorf("%s: %w, and there is no built-in scenario of that name (built in are: %s)", name, err, strings.Join(scenario.Builtin(), ", "))
	}
	return scenario.Read(name+scenarioSuffix, string(text), scenario.File)
}

// scenarioSettingsReader returns a function that reads a settings file that a scenario names: from the folder of the scenario
// file or, if it is not there, from the built-in files.
func scenarioSettingsReader(scenarioFile string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		if data, err := os.ReadFile(filepath.Join(filepath.Dir(scenarioFile), name)); err == nil {
			return data, nil
		}
		data, err := scenario.File(name)
		if err != nil {
			return nil, fmt.Errorf("%s is neither in the scenario's folder nor built in", name)
		}
		return data, nil
	}
}
