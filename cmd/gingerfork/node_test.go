package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// discoveryStandin answers as the platform's page says, and tells of each call.
func discoveryStandin(t *testing.T) (addr string, calls chan string) {
	calls = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), calls
}

func configuration(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
		"settings":{"Discovery":"on_request","RoundMs":4.0,"GroupSize":1,"SelfIndex":0,"Zones":["a"],"FamilyInfo":{"ProxyCount":4,"LinesPerS":14000.0,
		"MostWaiting":14000.0,"PerMessage":10.0,"PeriodMs":1000.0,"LevelKind":"none","SelectsBy":"pair","Strikes":5,"PushDelayMs":100.0},
		"Obligations":{"AskWithinMs":10000.0,"DrainGraceMs":1500.0,"WarmAfterMs":10000.0,"ColdShare":0.3,"FallMultiple":2.5},
		"Profiles":[{"Name":"read","AimMs":1000.0,"DeadlineMs":2500.0,"Effect":"idempotent","Worth":1.0}]}}`, listen, discovery)
}

// The built program on loopback: a sign of life, a joining, a table, an answer, a new configuration, its end.
func TestNodeServes(t *testing.T) {
	first, calls := discoveryStandin(t)
	second, moved := discoveryStandin(t)
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := door.Addr().String()
	door.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put(configuration(listen, first))
	p := exec.Command(os.Args[0], "node")
	p.Env = append(append(os.Environ(), serveEnv...), "NODE_CONFIG="+file)
	logs, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Process.Kill()
	said := make(chan string, 100)
	go func() {
		defer close(said)
		for s := bufio.NewScanner(logs); s.Scan(); {
			select {
			case said <- s.Text():
			default:
			}
		}
	}()
	limit := time.After(time.Minute)
	says := func(what string) {
		t.Helper()
		for {
			select {
			case l, ok := <-said:
				if !ok {
					t.Fatalf("it ended before it said %q", what)
				}
				if strings.Contains(l, what) {
					return
				}
			case <-limit:
				t.Fatalf("it never said %q", what)
			}
		}
	}
	says("coordinator started")
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	in := bufio.NewReader(c)
	until := func(what string) string {
		t.Helper()
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				t.Fatalf("waiting for %q: %v", what, err)
			}
			if strings.Contains(l, what) {
				return l
			}
		}
	}
	fmt.Fprint(c, "hb\r\nattach proxy=2 zone=a weight=5 fresh=1\r\n")
	until("hb_ok")
	push := until("whole=1")
	if !strings.Contains(push, "s-1:1") || !strings.Contains(push, "s-2:1") || !strings.Contains(push, "ticket=") {
		t.Fatalf("the table is %q", push)
	}
	mark := strings.Fields(push[strings.Index(push, "ticket=")+7:])[0]
	fmt.Fprintf(c, "done proxy=2 mark=%s took_ms=30\r\n", mark)

	for _, bad := range []string{"{", "{}", configuration(listen, "")} {
		put(bad)
		p.Process.Signal(syscall.SIGHUP)
		says("the old stays in force")
	}
	put(configuration(listen, second))
	p.Process.Signal(syscall.SIGHUP)
	select {
	case call := <-moved:
		if !strings.Contains(call, "since=41") {
			t.Errorf("the first call at the new address is %s", call)
		}
	case <-limit:
		t.Fatal("it never calls discovery at its new address")
	}
	if len(calls) == 0 {
		t.Error("it never called the old address")
	}
	fmt.Fprint(c, "hb\r\n") // the stream stands
	until("hb_ok")
	p.Process.Signal(syscall.SIGTERM)
	says("coordinator ended")
	if err := p.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v", err)
	}
}

// What can't be started with is said in one line, and the exit tells.
func TestNodeRefusesToStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for text, want := range map[string]string{
		"":                               "can't be",
		"{":                              "not JSON",
		"{}":                             "no address to listen on",
		`{"listen":"127.0.0.1:1"}`:       "no address of discovery",
		configuration("", "127.0.0.1:1"): "no address to listen on",
		strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:1"), `"seed":"8c`, `"seed":"zz`, 1):                     "seed",
		strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:1"), `"sockets":256`, `"sockets":10`, 1):                "limits",
		strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:1"), `"Profiles"`, `"Other"`, 1):                        "methods",
		strings.Replace(configuration("127.0.0.1:1", "127.0.0.1:1"), `"ProxyCount"`, `"PartitionsN":4,"ProxyCount"`, 1): "4 slices",
		configuration(taken.Addr().String(), "127.0.0.1:1"):                                                             "address already in use",
	} {
		t.Setenv("NODE_CONFIG", filepath.Join(t.TempDir(), "none"))
		if text != "" {
			t.Setenv("NODE_CONFIG", write(t, "config.json", text))
		} else {
			want = "no such file"
		}
		code, _, said := call("node")
		if code != bad || !strings.Contains(said, want) || strings.Count(strings.TrimSpace(said), "\n") > 0 {
			t.Errorf("%.60q: exit %d, %q; wanted %q", text, code, said, want)
		}
	}
	t.Setenv("NODE_CONFIG", "")
	if code, _, said := call("node"); code != bad || !strings.Contains(said, "NODE_CONFIG") {
		t.Errorf("without a file: exit %d, %q", code, said)
	}
}
