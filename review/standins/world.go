package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds what the stand-ins of a case share: the clock, the record, and the processes that the case started.
type world struct {
	start   time.Time
	root    string // root of the checkout, where the deploy file's command runs
	command string // the deploy file's run command
	dir     string // temporary folder of this run
	trouble bool

	mu     sync.Mutex
	record *os.File
	nodes  []*node // those that were started
}

// now returns the seconds since the case began.
func (w *world) now() float64 { return time.Since(w.start).Seconds() }

// log writes one line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{w.now()}, args...)...)
}

// at runs a function at a time of the case.
func (w *world) at(second float64, run func()) {
	time.AfterFunc(time.Until(w.start.Add(time.Duration(second*float64(time.Second)))), run)
}

// sleepUntil waits for a time of the case.
func (w *world) sleepUntil(second float64) {
	time.Sleep(time.Until(w.start.Add(time.Duration(second * float64(time.Second)))))
}

// node is a coordinator process.
type node struct {
	world     *world
	name      string
	listen    string
	discovery string
	config    map[string]any
	command   *exec.Cmd
	exited    chan struct{}
	readyAt   float64 // time of its first answer to a sign of life
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startNode writes the configuration and starts the coordinator by the deploy file's run command. It waits until the
// coordinator answers a sign of life.
func (w *world) startNode(n *node) {
	n.world = w
	path := filepath.Join(w.dir, n.name+".json")
	data, err := json.MarshalIndent(n.config, "", " ")
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		fail("configuration: %v", err)
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	command := exec.Command("/bin/sh", "-c", w.command)
	command.Dir, command.Stdout, command.Stderr = w.root, logFile, logFile
	command.Env = append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+n.listen, "NODE_DISCOVERY="+n.discovery, "NODE_CONFIG="+path,
		"TMPDIR="+w.dir)
	if err := command.Start(); err != nil {
		fail("start %s: %v", n.name, err)
	}
	n.command, n.exited = command, make(chan struct{})
	w.mu.Lock()
	if !slices.Contains(w.nodes, n) {
		w.nodes = append(w.nodes, n)
	}
	w.mu.Unlock()
	go func(done chan struct{}) {
		err := command.Wait()
		w.log("coordinator %s ended: %v", n.name, err)
		close(done)
	}(n.exited)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if n.answers() {
			n.readyAt = w.now()
			w.log("coordinator %s answers a sign of life", n.name)
			return
		}
	}
	fail("coordinator %s is not ready", n.name)
}

// answers reports whether the coordinator answers a sign of life.
func (n *node) answers() bool {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("hb\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "hb_ok")
}

// kill ends the coordinator's process at once and waits for its end.
func (n *node) kill() {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// end ends all processes that the case started.
func (w *world) end() {
	w.mu.Lock()
	nodes := append([]*node(nil), w.nodes...)
	w.mu.Unlock()
	for _, n := range nodes {
		select {
		case <-n.exited:
		default:
			n.kill()
		}
	}
}

// copyLogs appends the coordinators' logs to the record.
func (w *world) copyLogs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		data, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		fmt.Fprintf(w.record, "log of %s:\n%s", n.name, data)
	}
}

var cleanUp func()

// fail ends the case because it could not run.
func fail(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	if cleanUp != nil {
		cleanUp()
	}
	os.Exit(2)
}
