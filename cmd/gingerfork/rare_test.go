package main

import (
	"bufio"
	"context"
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

	"gingerfork/internal/eventloop"
	"gingerfork/internal/statemachine"
)

type idle struct{}

func (idle) Step(statemachine.Seconds, []statemachine.Input, *statemachine.Effects) {}

// The former process still holds the address when the new one comes to listen on it.
func TestTakenAddressIsWaitedFor(t *testing.T) {
	former, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer former.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	tries := 0
	start := func() (*eventloop.Loop, error) {
		l, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: idle{}, Listen: []string{former.Addr().String()}})
		if tries++; tries == 2 {
			former.Close()
		}
		return l, err
	}
	l, err := listen(ctx, start)
	if err != nil || tries != 3 {
		t.Fatalf("%d tries, %v", tries, err)
	}
	defer func() { l.Stop(); _ = l.Wait() }()
	// SIGTERM while it is waited for ends the waiting.
	if l, err := listen(ctx, func() (*eventloop.Loop, error) { stop(); return nil, syscall.EADDRINUSE }); l != nil || err != nil {
		t.Errorf("told to end, it has %v and %v", l, err)
	}
}

// Whoever reads the log stops reading, or goes away: neither holds up nor ends the coordinator.
func TestLogNobodyReads(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	s := newSpill(w, 8)
	line := []byte(strings.Repeat("x", 1<<12) + "\n")
	for range 100 { // far more than the pipe and the room hold
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		read <- string(b)
	}()
	s.end(nil)
	w.Close()
	got := <-read
	told, dropped := strings.Count(got, string(line)), 0
	for l := range strings.Lines(got) {
		var n int
		if _, err := fmt.Sscanf(l, `{"level":"warn","lines":%d,`, &n); err == nil {
			dropped += n
		}
	}
	if dropped == 0 || told+dropped != 100 {
		t.Errorf("of 100 lines %d were written and %d are told to be dropped", told, dropped)
	}
	if n, err := s.Write(line); n != len(line) || err != nil {
		t.Error("after its end:", n, err)
	}
}

// node starts the program on a configuration, and waits until it serves.
func node(t *testing.T, config string, logs *os.File) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o644); err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0], "node")
	p.Env = append(append(os.Environ(), serveEnv...), "NODE_CONFIG="+file)
	p.Stderr = logs
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); _ = p.Wait() })
	return p
}

// joined connects and sends what is given, and waits for an answer with a text.
func joined(t *testing.T, listen, send, want string) (got string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			if time.Now().After(end) {
				t.Fatal(err)
			}
			continue
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, send)
		for in := bufio.NewReader(c); ; {
			l, err := in.ReadString('\n')
			if got += l; strings.Contains(l, want) {
				return got
			}
			if err != nil {
				t.Fatalf("waiting for %q: %q and %v", want, got, err)
			}
		}
	}
}

// The log's reader is gone before the first line: the first write would end the process by SIGPIPE.
func TestNodeOutlivesTheReaderOfItsLog(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	discovery, _ := discoveryStandin(t)
	listen := free(t)
	p := node(t, configuration(listen, discovery), w)
	joined(t, listen, "hb\r\nattach proxy=2 zone=a weight=5 fresh=1\r\n", "whole=1")
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// Settings that belong to other customers: whatever the pages allow starts, asks discovery and gives proxies their tables.
func TestNodeTakesOtherCustomersSettings(t *testing.T) {
	change := func(pairs ...string) func(string) string {
		return func(s string) string {
			for i := 0; i < len(pairs); i += 2 {
				if !strings.Contains(s, pairs[i]) {
					t.Fatalf("the configuration has no %s", pairs[i])
				}
				s = strings.Replace(s, pairs[i], pairs[i+1], 1)
			}
			return s
		}
	}
	read := `{"Name":"read","AimMs":1000.0,"DeadlineMs":2500.0,"Effect":"idempotent","Worth":1.0}`
	many := read
	for i := range 62 {
		many += fmt.Sprintf(`,{"Name":"m%d","AimMs":%d,"DeadlineMs":9000,"Effect":"at_most_once","Worth":0}`, i, 500+i)
	}
	for name, c := range map[string]struct {
		config     func(string) string
		zone, want string
	}{
		"a list that is pushed elsewhere":  {change(`"Discovery":"on_request"`, `"Discovery":"pushed"`), "a", "s-1:1"},
		"no limit between two calls":       {change(`"AskWithinMs":10000.0`, `"AskWithinMs":0`), "a", "s-1:1"},
		"far between two calls":            {change(`"AskWithinMs":10000.0`, `"AskWithinMs":600000`), "a", "s-1:1"},
		"a zone without a name":            {change(`"Zones":["a"]`, `"Zones":[""]`), "", "s-1:1"},
		"five zones":                       {change(`"Zones":["a"]`, `"Zones":["b","c","d","a","e"]`), "e", "s-1:1"},
		"many methods":                     {change(read, many), "a", "s-1:1"},
		"no limits":                        {change(`"limits":{"cores":1.0,"memory_mb":64,"sockets":256},`, ``), "a", "s-1:1"},
		"limits with fractions":            {change(`"cores":1.0,"memory_mb":64,"sockets":256`, `"cores":0.15,"memory_mb":32.5,"sockets":256`), "a", "s-1:1"},
		"no seed":                          {change(`"seed":"8c1f30d27a5be964",`, ``), "a", "s-1:1"},
		"a seed without quotes":            {change(`"seed":"8c1f30d27a5be964"`, `"seed":8130`), "a", "s-1:1"},
		"figures with a point":             {change(`"sockets":256`, `"sockets":256.0`, `"GroupSize":1`, `"GroupSize":1.0`), "a", "s-1:1"},
		"a short seed":                     {change(`"seed":"8c1f30d27a5be964"`, `"seed":"0"`), "a", "s-1:1"},
		"fields that nobody knows":         {change(`"seed":`, `"later":{"x":[1,{"y":null}]},"seed":`, `"GroupSize":1`, `"GroupSize":1,"More":[[],{}]`), "a", "s-1:1"},
		"thousands of proxies":             {change(`"ProxyCount":4`, `"ProxyCount":9000`), "a", "s-1:1"},
		"no limit on messages, no strikes": {change(`"Strikes":5,`, ``, `"PerMessage":10.0,`, ``), "a", "s-1:1"},
		"levels as shares":                 {change(`"LevelKind":"none"`, `"LevelKind":"ratio"`), "a", "level=1"},
		"a tick of its own, none":          {change(`"RoundMs":4.0`, `"RoundMs":0`), "a", "s-1:1"},
		"a known list that is no list":     {change(`"seed":`, `"known":{"hosts":7},"seed":`), "a", "s-1:1"},
		"a known list of nobody":           {change(`"seed":`, `"known":{"seq":3,"whole":true,"hosts":[]},"seed":`), "a", "s-1:1"},
		"no warming":                       {change(`"WarmAfterMs":10000.0,"ColdShare":0.3`, `"WarmAfterMs":0,"ColdShare":1`), "a", "s-1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery, calls := discoveryStandin(t)
			listen := free(t)
			p := node(t, c.config(configuration(listen, discovery)), os.Stderr)
			joined(t, listen, fmt.Sprintf("hb\r\nattach proxy=2 zone=%s weight=5 fresh=1\r\n", c.zone), c.want)
			// It goes on asking, by calls that wait for as long as the page allows and no longer.
			for limit := time.After(time.Minute); ; {
				select {
				case call := <-calls:
					var since, wait int
					if _, err := fmt.Sscanf(call, "/api/targets?since=%d&timeout_ms=%d", &since, &wait); err != nil || wait == 0 {
						continue
					}
					if wait < 100 || wait > 60000 {
						t.Errorf("it asks %s", call)
					}
				case <-limit:
					t.Fatal("it never watches the list")
				}
				break
			}
			p.Process.Signal(syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("after SIGTERM: %v", err)
			}
		})
	}
}
