package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/platform"
)

// programLog holds the lines of the program's log that the test has not read yet.
type programLog struct {
	lines chan string
	limit <-chan time.Time // time limit of all waits together
}

// startLogReader reads r to its end in the background. It drops lines while 100 are unread, so that the program never blocks
// on its log.
func startLogReader(r io.Reader) *programLog {
	log := &programLog{lines: make(chan string, 100), limit: time.After(time.Minute)}
	go func() {
		defer close(log.lines)
		for scanner := bufio.NewScanner(r); scanner.Scan(); {
			select {
			case log.lines <- scanner.Text():
			default:
			}
		}
	}()
	return log
}

// await waits for a log line that contains text.
func (l *programLog) await(t *testing.T, text string) {
	t.Helper()
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				t.Fatalf("the program ended before it logged %q", text)
			}
			if strings.Contains(line, text) {
				return
			}
		case <-l.limit:
			t.Fatalf("the program did not log %q within the time limit", text)
		}
	}
}

// proxyClient is a proxy's connection to a coordinator.
type proxyClient struct {
	net.Conn
	lines *bufio.Reader
}

// dialCoordinator connects to a coordinator as a proxy. The connection is closed at the end of the test.
func dialCoordinator(t *testing.T, addr string) *proxyClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return &proxyClient{Conn: conn, lines: bufio.NewReader(conn)}
}

// await reads up to a line that contains text, and returns that line.
func (c *proxyClient) await(t *testing.T, text string) string {
	t.Helper()
	for {
		line, err := c.lines.ReadString('\n')
		if err != nil {
			t.Fatalf("waiting for %q: %v", text, err)
		}
		if strings.Contains(line, text) {
			return line
		}
	}
}

// replaceText replaces the content of a file.
func replaceText(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// The program as a process: a proxy sends a heartbeat, attaches, receives a table and acknowledges it. Invalid configurations
// are rejected at SIGHUP, a new discovery address is used at once, and the stream stays open. SIGTERM ends the process with
// exit code 0.
func TestNodeServes(t *testing.T) {
	oldDiscovery, oldCalls := fakeDiscovery(t)
	newDiscovery, newCalls := fakeDiscovery(t)
	listen := freeAddr(t)
	file := tempFile(t, "config.json", configuration(listen, oldDiscovery))
	program := exec.Command(os.Args[0], "node")
	program.Env = append(append(os.Environ(), coordinatorEnv...), platform.EnvConfigFile+"="+file)
	stderr, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer program.Process.Kill()
	log := startLogReader(stderr)
	log.await(t, "coordinator started")
	client := dialCoordinator(t, listen)
	fmt.Fprint(client, "hb\r\nattach proxy=2 zone=a weight=5 fresh=1\r\n")
	client.await(t, "hb_ok")
	push := client.await(t, "whole=1")
	if !strings.Contains(push, "s-1:1") || !strings.Contains(push, "s-2:1") || !strings.Contains(push, "ticket=") {
		t.Fatalf("the table is %q, want both backends and a ticket", push)
	}
	nonce := strings.Fields(push[strings.Index(push, "ticket=")+len("ticket="):])[0]
	fmt.Fprintf(client, "done proxy=2 mark=%s took_ms=30\r\n", nonce)

	for _, invalid := range []string{"{", "{}", configuration(listen, "")} {
		replaceText(t, file, invalid)
		program.Process.Signal(syscall.SIGHUP)
		log.await(t, "the old configuration stays in force")
	}
	replaceText(t, file, configuration(listen, newDiscovery))
	program.Process.Signal(syscall.SIGHUP)
	select {
	case call := <-newCalls:
		if !strings.Contains(call, "since=41") {
			t.Errorf("the first call at the new address is %s, want it to continue at since=41", call)
		}
	case <-log.limit:
		t.Fatal("the program does not call discovery at the new address")
	}
	if len(oldCalls) == 0 {
		t.Error("the program did not call discovery at the old address")
	}
	fmt.Fprint(client, "hb\r\n") // the stream is still open
	client.await(t, "hb_ok")
	program.Process.Signal(syscall.SIGTERM)
	log.await(t, "coordinator ended")
	if err := program.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v", err)
	}
}

// A start that fails is reported by one line on standard error and by the exit code.
func TestNodeRefusesToStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	valid := configuration("127.0.0.1:1", "127.0.0.1:1")
	for _, testCase := range []struct{ name, config, want string }{
		{"cut off", "{", "not JSON"},
		{"empty", "{}", "no address to listen on"},
		{"no discovery", `{"listen":"127.0.0.1:1"}`, "no address of discovery"},
		{"no address", configuration("", "127.0.0.1:1"), "no address to listen on"},
		{"malformed seed", strings.Replace(valid, `"seed":"8c`, `"seed":"zz`, 1), "seed"},
		{"too few sockets", strings.Replace(valid, `"sockets":256`, `"sockets":10`, 1), "limits"},
		{"no methods", strings.Replace(valid, `"Profiles"`, `"Other"`, 1), "methods"},
		{"slices", strings.Replace(valid, `"ProxyCount"`, `"PartitionsN":4,"ProxyCount"`, 1), "4 slices"},
		{"address in use", configuration(taken.Addr().String(), "127.0.0.1:1"), "address already in use"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			mustRefuseToStart(t, tempFile(t, "config.json", testCase.config), testCase.want)
		})
	}
	t.Run("no file", func(t *testing.T) {
		mustRefuseToStart(t, filepath.Join(t.TempDir(), "none"), "no such file")
	})
	t.Run("no variable", func(t *testing.T) {
		mustRefuseToStart(t, "", platform.EnvConfigFile)
	})
}

// mustRefuseToStart fails the test unless the program exits with code 1 and one line on standard error that contains want.
func mustRefuseToStart(t *testing.T, file, want string) {
	t.Helper()
	t.Setenv(platform.EnvConfigFile, file)
	code, _, stderr := runCommand("node")
	if code != exitFailure || !strings.Contains(stderr, want) || strings.Count(strings.TrimSpace(stderr), "\n") > 0 {
		t.Errorf("exit code %d and %q, want code %d and one line with %q", code, stderr, exitFailure, want)
	}
}

// The log reader is gone before the first line is written. Unless SIGPIPE is ignored, that write would end the process.
func TestNodeSurvivesTheEndOfItsLogReader(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	discovery, _ := fakeDiscovery(t)
	listen := freeAddr(t)
	program := startProgram(t, configuration(listen, discovery), w)
	attach(t, listen, "hb\r\nattach proxy=2 zone=a weight=5 fresh=1\r\n", "whole=1")
	terminate(t, program)
}
