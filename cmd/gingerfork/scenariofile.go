package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gingerfork/internal/scenario"
)

// scenarioSuffix is the end of the name of a scenario's file.
const scenarioSuffix = ".day"

// readScenario reads a scenario from the file of that name, or the built-in one of that name.
func readScenario(name string) (*scenario.Scenario, error) {
	text, err := os.ReadFile(name)
	if err == nil {
		return scenario.Read(name, string(text), settingsBeside(name))
	}
	text, builtinErr := scenario.File(name + scenarioSuffix)
	if builtinErr != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, fmt.Errorf("%s: %w, and no day of that name comes with the program (those that do: %s)", name, err, strings.Join(scenario.Builtin(), ", "))
	}
	return scenario.Read(name+scenarioSuffix, string(text), scenario.File)
}

// settingsBeside returns a function that reads the settings that a scenario's file names: from the file's folder, or else
// the built-in ones.
func settingsBeside(scenarioFile string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		if data, err := os.ReadFile(filepath.Join(filepath.Dir(scenarioFile), name)); err == nil {
			return data, nil
		}
		data, err := scenario.File(name)
		if err != nil {
			return nil, fmt.Errorf("%s is neither beside the day nor among the settings that come with the program", name)
		}
		return data, nil
	}
}
