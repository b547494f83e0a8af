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

// Two pools of one file in one process: each lists its own servers, and follows the file by itself.
func TestServeTwoPools(t *testing.T) {
	s1, s2 := free(t), free(t)
	web := write(t, "web.cfg", "frontend www\n    use_backend static if { path_beg /s }\n    default_backend tasks\nbackend tasks\n    server a "+s1+"\nbackend static\n    server a "+s2+"\n")
	dir := filepath.Join(filepath.Dir(web), "imported")
	if code, _, err := call("import", "haproxy", "-o", dir, web); code != good {
		t.Fatal(err)
	}
	if code, out, err := call("route", filepath.Join(dir, "routes"), "www", "GET", "/s/1", "--header", "Host=x"); code != good || out != "pool static method www-path_beg-s\n" {
		t.Error(out, err)
	}
	if code, _, err := call("check", filepath.Join(dir, "routes"), filepath.Join(dir, "tasks.conf"), filepath.Join(dir, "static.conf")); code != good {
		t.Error(err)
	}
	var files, at []string
	for _, pool := range []string{"tasks", "static"} {
		file := filepath.Join(dir, pool+".conf")
		text, _ := os.ReadFile(file)
		at = append(at, free(t))
		lines := strings.Split(string(text), "\n")
		for i, l := range lines {
			switch {
			case strings.HasPrefix(l, "    listen "):
				lines[i] = "    listen " + at[len(at)-1] + "\n    list-from ../web.cfg\n    list-pool " + pool
			case strings.HasPrefix(l, "    list-service "):
				lines[i] = "    list-service " + free(t)
			}
		}
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	if code, _, err := call("serve", files[0], files[0]); code != bad || !strings.Contains(err, "is that of") {
		t.Errorf("one file twice: %d %s", code, err)
	}
	process(t, "standin", "server", "--listen", s1, "--ep", "1")
	process(t, "standin", "server", "--listen", s2, "--ep", "1")
	c := process(t, "--log-format", "json", "serve", files[0], files[1])
	for i, pool := range []string{"tasks", "static"} {
		eventually(t, pool+" is followed", func() bool { return c.times(`"changed":1`) >= 2 })
		f := process(t, "load", "--settings", files[i], "--coordinator", at[i], "--rate", "40", "--proxies", "2", "--for", "2s", "--json")
		_ = f.cmd.Wait()
		if !f.said(`"Service":`) || f.said(`"Service":0,`) {
			t.Errorf("load through %s: %s", pool, f.log.String())
		}
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	eventually(t, "both end", func() bool { return c.times("coordinator ended") == 2 })
}
