package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A coordinator reads its endpoints from a HAProxy file. A file that was truncated during a write, and one that removes most
// of the servers, leave the last valid list in use and log the reason; a valid change is applied.
func TestServeEndpointsFromFile(t *testing.T) {
	endpointsAddr, coordinatorAddr, backend1, backend2, backend3 := freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	haproxyFile := filepath.Join(dir, "web.cfg")
	replace := func(text string) {
		t.Helper()
		if err := os.WriteFile(haproxyFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	threeServers := "backend tasks\n    balance leastconn\n    server a " + backend1 + " weight 10\n    server b " + backend2 + " weight 20\n    server c " + backend3 + " weight 20\n"
	replace(threeServers)
	file := filepath.Join(dir, "c.conf")
	settings := strings.NewReplacer("127.0.0.1:7400", coordinatorAddr, "127.0.0.1:7300", endpointsAddr, "state           -", "state kept\n    list-from web.cfg\n    list-drain 1s").Replace(perthSettings(t))
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{backend1, backend2, backend3} {
		startProcess(t, "fake", "backend", "--listen", s, "--id", "1")
	}
	coordinator := startProcess(t, "--log-format", "json", "serve", file)
	reload := func() { _ = coordinator.cmd.Process.Signal(syscall.SIGHUP) }
	eventually(t, "the file to be applied", func() bool { return coordinator.logged(`"changed":3`) })
	loadProcess := startProcess(t, "load", "--settings", file, "--coordinator", coordinatorAddr, "--rate", "40", "--proxies", "2", "--duration", "4s", "--json")

	replace(threeServers[:len(threeServers)-30]) // cut off within the last line, which lists server c
	reload()
	eventually(t, "the truncated file to be rejected", func() bool { return coordinator.logged("endpoint file invalid") })
	status := func() string { b, _ := os.ReadFile(filepath.Join(dir, "kept", "list-from.status")); return string(b) }
	eventually(t, "the truncation to be in the status file", func() bool {
		return strings.Contains(status(), "verdict bad") && strings.Contains(status(), "cut short")
	})
	replace("backend tasks\n    server a " + backend1 + " weight 10\n")
	reload()
	eventually(t, "the file without most servers to be rejected", func() bool { return coordinator.logged("2 of 3 servers out of use") })
	replace(strings.Replace(threeServers, "weight 10", "weight 30", 1))
	reload()
	eventually(t, "the changed weight to be applied", func() bool { return coordinator.logged(`"changed":1`) })
	eventually(t, "the status file to say that the list is in force", func() bool { return strings.Contains(status(), `verdict "in force"`) })
	if err := loadProcess.cmd.Wait(); err != nil {
		t.Logf("load: %v", err) // on a busy machine the load may fall behind its schedule and fail with VOID
	}
	if !loadProcess.logged(`"Service":`) || loadProcess.logged(`"Service":0,`) {
		t.Errorf("the load through the listed backends had no service: %s", loadProcess.log.String())
	}
	eventually(t, "the endpoint list to be cached", func() bool { _, err := os.Stat(filepath.Join(dir, "kept", "followed.json")); return err == nil })
}

// One process serves two pools of the same HAProxy file. Each pool has its own coordinator and endpoints, and reads the file
// separately.
func TestServeTwoPools(t *testing.T) {
	backend1, backend2 := freeAddr(t), freeAddr(t)
	haproxyFile := tempFile(t, "web.cfg", "frontend www\n    use_backend static if { path_beg /s }\n    default_backend tasks\nbackend tasks\n    server a "+backend1+"\nbackend static\n    server a "+backend2+"\n")
	dir := filepath.Join(filepath.Dir(haproxyFile), "imported")
	if code, _, err := runCommand("import", "haproxy", "-o", dir, haproxyFile); code != exitOK {
		t.Fatal(err)
	}
	if code, out, err := runCommand("route", filepath.Join(dir, "routes"), "www", "GET", "/s/1", "--header", "Host=x"); code != exitOK || out != "pool static method www-path_beg-s\n" {
		t.Errorf("route: output %q, error output %q", out, err)
	}
	if code, _, err := runCommand("check", filepath.Join(dir, "routes"), filepath.Join(dir, "tasks.conf"), filepath.Join(dir, "static.conf")); code != exitOK {
		t.Error(err)
	}
	var files, addrs []string
	for _, pool := range []string{"tasks", "static"} {
		file := filepath.Join(dir, pool+".conf")
		text, _ := os.ReadFile(file)
		addrs = append(addrs, freeAddr(t))
		lines := strings.Split(string(text), "\n")
		for i, l := range lines {
			switch {
			case strings.HasPrefix(l, "    listen "):
				lines[i] = "    listen " + addrs[len(addrs)-1] + "\n    list-from ../web.cfg\n    list-pool " + pool
			case strings.HasPrefix(l, "    list-service "):
				lines[i] = "    list-service " + freeAddr(t)
			}
		}
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	if code, _, err := runCommand("serve", files[0], files[0]); code != exitFailure || !strings.Contains(err, "is already used by") {
		t.Errorf("serve with one file twice: exit code %d, error output %q", code, err)
	}
	startProcess(t, "fake", "backend", "--listen", backend1, "--id", "1")
	startProcess(t, "fake", "backend", "--listen", backend2, "--id", "1")
	coordinator := startProcess(t, "--log-format", "json", "serve", files[0], files[1])
	for i, pool := range []string{"tasks", "static"} {
		eventually(t, "pool "+pool+" to be applied", func() bool { return coordinator.countLogged(`"changed":1`) >= 2 })
		loadProcess := startProcess(t, "load", "--settings", files[i], "--coordinator", addrs[i], "--rate", "40", "--proxies", "2", "--duration", "2s", "--json")
		_ = loadProcess.cmd.Wait()
		if !loadProcess.logged(`"Service":`) || loadProcess.logged(`"Service":0,`) {
			t.Errorf("the load through pool %s had no service: %s", pool, loadProcess.log.String())
		}
	}
	_ = coordinator.cmd.Process.Signal(syscall.SIGTERM)
	eventually(t, "both coordinators to end", func() bool { return coordinator.countLogged("coordinator ended") == 2 })
}
