package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// deployValue reads the value of a name from the deploy file as the platform does: name = "text", with a comment after it.
func deployValue(t *testing.T, root, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), name+" = "); ok {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			text, _ := strconv.Unquote(quoted)
			return text
		}
	}
	t.Fatalf("the deploy file has no line %q", name)
	return ""
}

// The platform loads a library of its own into the coordinator's process, which only a program that is linked
// dynamically against the C library loads; a static one would silently run without it.
func TestDeployedProgramIsDynamicAndOneProcess(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	build := exec.Command("/bin/sh", "-c", deployValue(t, root, "build"))
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	command := strings.Fields(deployValue(t, root, "run"))
	if len(command) < 2 || command[0] != "exec" || strings.ContainsAny(strings.Join(command, " "), ";&|`$()<>") {
		t.Fatalf("run is %q: it does not end in one process by exec", command)
	}
	program, err := elf.Open(filepath.Join(root, command[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program asks for no interpreter")
	}
	libs, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("the program asks for %v, not for the C library", libs)
	}
}
