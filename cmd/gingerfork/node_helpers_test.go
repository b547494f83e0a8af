package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/platform"
)

// fakeDiscovery starts an HTTP server that answers like the platform's discovery service with two backends. It sends the URL
// of each request to calls, and leaves a long poll without an answer.
func fakeDiscovery(t *testing.T) (addr string, calls chan string) {
	t.Helper()
	calls = make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- r.URL.String():
		default:
		}
		if strings.Contains(r.URL.RawQuery, "since=41") && !strings.HasSuffix(r.URL.RawQuery, "timeout_ms=0") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0},
			{"host":"s-2","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0}]}`)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://"), calls
}

// configuration returns the text of a valid configuration file.
func configuration(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
		"settings":{"Discovery":"on_request","RoundMs":4.0,"GroupSize":1,"SelfIndex":0,"Zones":["a"],"FamilyInfo":{"ProxyCount":4,"LinesPerS":14000.0,
		"MostWaiting":14000.0,"PerMessage":10.0,"PeriodMs":1000.0,"LevelKind":"none","SelectsBy":"pair","Strikes":5,"PushDelayMs":100.0},
		"Obligations":{"AskWithinMs":10000.0,"DrainGraceMs":1500.0,"WarmAfterMs":10000.0,"ColdShare":0.3,"FallMultiple":2.5},
		"Profiles":[{"Name":"read","AimMs":1000.0,"DeadlineMs":2500.0,"Effect":"idempotent","Worth":1.0}]}}`, listen, discovery)
}

// startProgram starts the node command with a configuration file that holds config, and its log written to logs. The process
// is killed at the end of the test.
func startProgram(t *testing.T, config string, logs *os.File) *exec.Cmd {
	t.Helper()
	program := exec.Command(os.Args[0], "node")
	program.Env = append(append(os.Environ(), coordinatorEnv...), platform.EnvConfigFile+"="+tempFile(t, "config.json", config))
	program.Stderr = logs
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill(); _ = program.Wait() })
	return program
}

// terminate sends SIGTERM and fails the test unless the program ends with exit code 0.
func terminate(t *testing.T, program *exec.Cmd) {
	t.Helper()
	program.Process.Signal(syscall.SIGTERM)
	if err := program.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// attach connects to the program as soon as it listens, sends requests and returns the answers up to the line that contains
// want.
func attach(t *testing.T, listen, requests, want string) (got string) {
	t.Helper()
	var conn net.Conn
	for deadline := time.Now().Add(5 * time.Second); conn == nil; {
		dialed, err := net.Dial("tcp", listen)
		if err == nil {
			conn = dialed
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(conn, requests)
	for lines := bufio.NewReader(conn); ; {
		line, err := lines.ReadString('\n')
		if got += line; strings.Contains(line, want) {
			return got
		}
		if err != nil {
			t.Fatalf("received %q and the error %v while waiting for %q", got, err, want)
		}
	}
}
