package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

// runAsProgramEnv is the environment variable that makes the test binary run as the program instead of running tests.
const runAsProgramEnv = "GINGERFORK_AS_PROGRAM"

// runCommand runs a command line in the test process.
func runCommand(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// tempFile writes a file to a new temporary folder and returns its path.
func tempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// perthSettings returns the text of the built-in settings perth.conf.
func perthSettings(t *testing.T) string {
	t.Helper()
	text, err := scenario.File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// readTraceFile returns the records of a trace file.
func readTraceFile(t *testing.T, name string) []trace.Record {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	records, err := trace.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// childProcess is the program running as a child process. It collects what the process writes to both outputs.
type childProcess struct {
	cmd *exec.Cmd
	mu  sync.Mutex
	log bytes.Buffer
}

// startProcess starts the program with the given arguments. The process is killed at the end of the test.
func startProcess(t *testing.T, args ...string) *childProcess {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := &childProcess{cmd: exec.Command(exe, args...)}
	child.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	child.cmd.Stdout, child.cmd.Stderr = child, child
	if err := child.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = child.cmd.Process.Kill(); _ = child.cmd.Wait() })
	return child
}

// Write implements io.Writer for the outputs of the process.
func (c *childProcess) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(b)
}

// logged reports whether the process wrote text.
func (c *childProcess) logged(text string) bool { return c.countLogged(text) > 0 }

// countLogged returns how often the process wrote text.
func (c *childProcess) countLogged(text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Count(c.log.String(), text)
}

// mustTerminate sends SIGTERM and requires exit code 0.
func (c *childProcess) mustTerminate(t *testing.T) {
	t.Helper()
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v\n%s", err, c.log.String())
	}
}

// eventually waits until a condition holds, and fails the test if it does not within 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout while waiting for " + what)
		}
	}
}

// freeAddr returns a loopback address for a program under test. A socket bound to it keeps it reserved until the test ends: the
// system offers the port to nobody else. It never listens, so that clients are refused, not reset, until the program, whose
// listener sets SO_REUSEADDR, listens there.
func freeAddr(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}
