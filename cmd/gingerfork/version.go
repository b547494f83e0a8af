package main

import (
	"fmt"
	"runtime/debug"
)

// revisionLength is the number of hexadecimal digits of the commit hash that the version command prints.
const revisionLength = 12

type versionCmd struct{}

// Run prints the commit that the program was built from.
func (versionCmd) Run(cli *program) error { //nolint:unparam // kong asks for the error
	version, when := revision()
	fmt.Fprintf(cli.out, "gingerfork %s%s, protocol 1\n", version, when)
	return nil
}

// revision returns the commit that the program was built from, and " of " with the time of the commit. It returns
// "unreleased" and "" if the build does not record them.
func revision() (version, when string) {
	version = "unreleased"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, when
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			version = s.Value[:min(revisionLength, len(s.Value))]
		case "vcs.time":
			when = " of " + s.Value
		}
	}
	return version, when
}
