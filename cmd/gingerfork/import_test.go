package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The import writes files that the check command accepts, and reports what it could not import. If a file has errors, it
// writes nothing.
func TestImport(t *testing.T) {
	web := tempFile(t, "web.cfg", "backend tasks\n    balance leastconn\n    server a 10.0.0.1:80 weight 3 check\n")
	dir := filepath.Join(t.TempDir(), "out")
	code, _, err := runCommand("import", "haproxy", "-o", dir, web)
	if code != exitOK || !strings.Contains(err, "web.cfg:3: not carried: check") || !strings.Contains(err, "1 pools;") {
		t.Fatalf("import: exit code %d, error output %q", code, err)
	}
	if code, _, err := runCommand("check", filepath.Join(dir, "tasks.conf")); code != exitOK {
		t.Errorf("check of the imported settings: %s", err)
	}
	before, _ := os.ReadFile(filepath.Join(dir, "tasks.list"))
	if !strings.Contains(string(before), " a weight 3 addr 10.0.0.1:80 state open\n") {
		t.Errorf("imported list: %s", before)
	}
	if code, _, _ := runCommand("import", "haproxy", "--strict", web); code != exitFailure {
		t.Error("--strict accepted a file that is not imported exactly")
	}
	code, out, _ := runCommand("import", "haproxy", "--json", web)
	var r struct {
		Pools int
		Notes []struct{ Line int }
	}
	if e := json.Unmarshal([]byte(out), &r); e != nil || code != exitOK || r.Pools != 1 || len(r.Notes) < 4 {
		t.Errorf("import --json: exit code %d, error %v, output %q", code, e, out)
	}
	twice := tempFile(t, "twice.cfg", "backend tasks\n    server a 10.0.0.1:80\n    server a 10.0.0.2:80\n")
	none := filepath.Join(t.TempDir(), "none")
	if code, _, err := runCommand("import", "haproxy", "-o", none, twice); code != exitFailure || !strings.Contains(err, "twice.cfg:3: refused: server a is listed twice") {
		t.Errorf("import of a file that lists a server twice: exit code %d, error output %q", code, err)
	}
	if _, err := os.Stat(none); err == nil {
		t.Error("the import of an invalid file wrote to the output folder")
	}
	changed := tempFile(t, "new.cfg", "backend tasks\n    server a 10.0.0.1:80 weight 4\n    server b 10.0.0.2:80\n")
	if code, out, _ := runCommand("import", "haproxy", "--diff", web, changed); code != exitOK || strings.Count(out, "\n") != 2 || !strings.Contains(out, "tasks/b: not listed -> weight 1") {
		t.Errorf("import --diff: exit code %d, output %q", code, out)
	}
	env := tempFile(t, "env.cfg", "backend \"${SITE}\"\n    server a 10.0.0.1:80\n")
	if code, _, _ := runCommand("import", "haproxy", env); code != exitFailure {
		t.Error("the import accepted a file that uses an undefined variable")
	}
	if code, _, err := runCommand("import", "haproxy", "--env", "SITE=perth", env); code != exitOK {
		t.Error(err)
	}
}

// docs/haproxy-keywords.md is generated from the program, and must be up to date.
func TestKeywordPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/haproxy-keywords.md")
	if err != nil {
		t.Fatal(err)
	}
	if _, out, _ := runCommand("import", "haproxy", "--keywords"); out != string(page) {
		t.Error("docs/haproxy-keywords.md is not what gingerfork import haproxy --keywords prints")
	}
}
