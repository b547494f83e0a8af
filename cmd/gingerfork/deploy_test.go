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

// deployValue returns the quoted value of a line `name = "value"` of deploy/balancer.toml; a comment may follow the value.
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
	t.Fatalf("deploy/balancer.toml has no line for %q", name)
	return ""
}

// The platform preloads a library of its own into the coordinator's process. Only an executable that is linked dynamically
// against the C library loads it; a static one would run without it, and nothing would report that. The run command must
// also replace its shell by exec, so that the coordinator is the only process.
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
		t.Fatalf("the run command is %q, want a plain exec of the program without shell operators", command)
	}
	program, err := elf.Open(filepath.Join(root, command[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the executable has no PT_INTERP segment: it is linked statically")
	}
	libs, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("the executable needs the libraries %v, want libc.so among them", libs)
	}
}
