// Package bootstrap reads the settings file of a coordinator. Its lexer also reads gingerfork's other line-based files, such as
// scenarios. docs/settings.md describes the format for operators. All faults of a file are reported in one run, each with file
// and line, what is wrong and what was expected.
package bootstrap

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a file.
type Fault struct {
	File    string
	Line    int // from 1
	Message string
}

// String returns the fault as file:line: message.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// Error returns the same as String.
func (f Fault) Error() string { return f.String() }

// Faults are all errors in a file and the files that it includes.
type Faults []Fault

// Error returns the faults as text, one per line.
func (f Faults) Error() string {
	texts := make([]string, 0, len(f))
	for _, fault := range f {
		texts = append(texts, fault.String())
	}
	return strings.Join(texts, "\n")
}

// Unwrap returns the faults as errors, so that errors.As finds the first one.
func (f Faults) Unwrap() []error {
	faults := make([]error, 0, len(f))
	for _, fault := range f {
		faults = append(faults, fault)
	}
	return faults
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort sorts the faults by file and line, so that their order does not depend on the order of the checks.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
