package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A coordinator that lists the servers of a HAProxy file itself: a file replaced halfway through a write and one that loses
// most servers leave the last good list in force, with the reason in the log; a good one is followed.
func TestServeFollowsAFile(t *testing.T) {
	list, at, s1, s2, s3 := free(t), free(t), free(t), free(t), free(t)
	dir := t.TempDir()
	web := filepath.Join(dir, "web.cfg")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(web, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	whole := "backend tasks\n    balance leastconn\n    server a " + s1 + " weight 10\n    server b " + s2 + " weight 20\n    server c " + s3 + " weight 20\n"
	put(whole)
	file := filepath.Join(dir, "c.conf")
	settings := strings.NewReplacer("127.0.0.1:7400", at, "127.0.0.1:7300", list, "state           -", "state kept\n    list-from web.cfg\n    list-drain 1s").Replace(perth(t))
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{s1, s2, s3} {
		process(t, "standin", "server", "--listen", s, "--ep", "1")
	}
	c := process(t, "--log-format", "json", "serve", file)
	hup := func() { _ = c.cmd.Process.Signal(syscall.SIGHUP) }
	eventually(t, "the file is followed", func() bool { return c.said(`"changed":3`) })
	f := process(t, "load", "--settings", file, "--coordinator", at, "--rate", "40", "--proxies", "2", "--for", "4s", "--json")

	put(whole[:len(whole)-30]) // halfway through a write, within a line: what is left makes sense and lacks a server
	hup()
	eventually(t, "a file that is cut short", func() bool { return c.said("the file of servers is bad") })
	status := func() string { b, _ := os.ReadFile(filepath.Join(dir, "kept", "list-from.status")); return string(b) }
	eventually(t, "its status", func() bool {
		return strings.Contains(status(), "verdict bad") && strings.Contains(status(), "cut short")
	})
	put("backend tasks\n    server a " + s1 + " weight 10\n")
	hup()
	eventually(t, "a file that loses most", func() bool { return c.said("2 of 3 servers out of use") })
	put(strings.Replace(whole, "weight 10", "weight 30", 1))
	hup()
	eventually(t, "a changed weight", func() bool { return c.said(`"changed":1`) })
	eventually(t, "its status", func() bool { return strings.Contains(status(), `verdict "in force"`) })
	if err := f.cmd.Wait(); err != nil {
		t.Logf("load: %v", err) // a busy machine may make it late, which it says
	}
	if !f.said(`"Service":`) || f.said(`"Service":0,`) {
		t.Errorf("load through the followed list: %s", f.log.String())
	}
	eventually(t, "what is followed is kept", func() bool { _, err := os.Stat(filepath.Join(dir, "kept", "followed.json")); return err == nil })
}
