package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gingerfork/internal/proto"
	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

// The test binary serves as the program where a process of its own is needed.
func TestMain(m *testing.M) {
	if os.Getenv("GINGERFORK_AS_PROGRAM") == "1" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	serveEnv = []string{"GINGERFORK_AS_PROGRAM=1"}
	os.Exit(m.Run())
}

func call(args ...string) (code int, out, err string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func perth(t *testing.T) string {
	t.Helper()
	text, err := scenario.File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExitCodesAndMessages(t *testing.T) {
	fine := write(t, "fine.conf", perth(t))
	bad := write(t, "bad.conf", strings.NewReplacer("15s", "15", "pair", "piar").Replace(perth(t)))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, good, "protocol 1"},
		{[]string{"check", fine}, good, "good"},
		{[]string{"check", fine, bad}, wrong, "bad.conf:11: warm-after"},
		{[]string{"check", bad}, wrong, "did you mean pair?"},
		{[]string{"check", "none.conf"}, wrong, "can't be read"},
		{[]string{"check"}, usage, "expected"},
		{[]string{"sreve"}, usage, "sreve"},
		{[]string{"serve", bad}, wrong, "warm-after"},
		{[]string{"rehearse", "no-such-day"}, wrong, "evening"},
		{[]string{"rehearse", "--virtual", "--search", "20", "--seed", "5"}, good, "20 scripts played, 0 broke"},
		{[]string{"settings"}, good, "| `drain-grace` |"},
		{[]string{"--help"}, good, "Exit codes"},
	} {
		code, out, errs := call(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
	}
}

const wrong = bad

// The README's day, in virtual time: exit 0, a result that machines can read, and a trace that can be read back.
func TestRehearseVirtual(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	code, out, errs := call("rehearse", "--virtual", "--json", "--trace", file)
	var result struct {
		Service float64
		Rules   []struct {
			Broken  int
			Nearest float64
		}
	}
	if err := json.Unmarshal([]byte(out), &result); code != good || err != nil || len(result.Rules) != 5 || result.Service < 0.8 {
		t.Fatal(code, err, out, errs)
	}
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	records, err := trace.Read(f)
	if err != nil || len(records) < 1000 {
		t.Fatal(len(records), err)
	}
}

// A bad day on real sockets, with a coordinator's process killed outright and started again.
func TestRehearseOnSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds of real time")
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "short.day")
	if err := os.WriteFile(file, []byte(`
day short
settings perth.conf
length 12s
coordinators 2
servers 4 zone dc-kewdale capacity 40
servers 3 zone dc-malaga capacity 40
frontends 2 zone dc-kewdale rate 8
frontends 2 zone dc-malaga rate 8
at 2s deploy servers 2 drain 2s down 1s every 1s
at 3s kill coordinators number 0 for 1s
at 5s stall coordinators number 1 for 1s
at 6s break streams 50%
at 7s cut zone dc-malaga for 1s
at 9s kill frontends 1 for 1s
`), 0o644); err != nil {
		t.Fatal(err)
	}
	code, out, errs := call("rehearse", file, "--keep", filepath.Join(dir, "kept"), "--trace", filepath.Join(dir, "trace"))
	if code != good {
		logs, _ := filepath.Glob(filepath.Join(dir, "kept", "*.log"))
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			t.Logf("%s: %s", filepath.Base(l), text)
		}
		t.Fatal(code, out, errs)
	}
	f, err := os.Open(filepath.Join(dir, "trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	records, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, r := range records {
		count[r.Kind]++
	}
	if count[trace.CoordinatorStarted] != 3 || count[trace.ProxyJoined] < 7 || count[trace.EffectExecuted] < 100 || count[trace.BackendStarted] != 2 || count[trace.PushApplied] < 8 {
		t.Errorf("%v", count)
	}
}

// program runs a command of the program as a process.
type child struct {
	cmd *exec.Cmd
	mu  sync.Mutex
	log bytes.Buffer
}

func (p *child) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *child) said(what string) bool { return p.times(what) > 0 }

// times counts how often it was said.
func (p *child) times(what string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Count(p.log.String(), what)
}

func process(t *testing.T, args ...string) *child {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &child{cmd: exec.Command(exe, args...)}
	p.cmd.Env = append(os.Environ(), "GINGERFORK_AS_PROGRAM=1")
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	return p
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Every part as a process of its own: list, servers, coordinator and front end; then SIGHUP and SIGTERM.
func TestProcesses(t *testing.T) {
	list, at, s1, s2 := free(t), free(t), free(t), free(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "c.conf")
	settings := strings.NewReplacer("127.0.0.1:7400", at, "127.0.0.1:7300", list, "state           -", "state kept").Replace(perth(t))
	put := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	put(settings)
	process(t, "standin", "server", "--listen", s1, "--ep", "1", "--settings", file)
	process(t, "standin", "server", "--listen", s2, "--ep", "2")
	process(t, "standin", "list", "--listen", list, "1,dc-kewdale,1,"+s1, "2,dc-malaga,1,"+s2)
	c := process(t, "--log-format", "json", "serve", file)
	out := filepath.Join(dir, "trace")
	f := process(t, "standin", "frontend", "--settings", file, "--coordinator", at, "--name", "f0", "--rate", "50", "--trace", out)
	eventually(t, "the proxy's join in the log", func() bool { return c.said(`"proxy":"f0"`) && c.said(`"instance":"perth-0"`) })
	eventually(t, "the kept list", func() bool {
		code, out, _ := call("store", "dump", filepath.Join(dir, "kept", "store"), "--from", "server/")
		return code == good && strings.Count(out, "\n") == 2
	})

	put(settings + "nonsense\n")
	_ = c.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "a bad file is refused", func() bool { return c.said("the old stay in force") && c.said("nonsense is no keyword") })
	put(strings.Replace(settings, "report-period   2s", "report-period   1s", 1))
	_ = c.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "a good one is taken", func() bool { return c.said("are in force") })
	// A proxy that joins now hears the new period.
	eventually(t, "the new settings", func() bool {
		conn, err := net.Dial("tcp", at)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(conn, "%s", proto.Append(nil, proto.Hello{Version: 1, Name: "probe", Zone: "dc-kewdale"}))
		var r proto.Reader
		r.HandshakeDone()
		b := make([]byte, 4096)
		for {
			n, err := conn.Read(b)
			if err != nil {
				return false
			}
			r.Feed(b[:n])
			if m, _ := r.Next(); m != nil {
				w, ok := m.(proto.Welcome)
				return ok && w.ReportPeriod == 1
			}
		}
	})
	eventually(t, "the proxy joins again", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Count(c.log.String(), `"message":"proxy joined"`) >= 3
	})
	for _, p := range []*child{c, f} {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		if err := p.cmd.Wait(); err != nil {
			t.Fatalf("after SIGTERM: %v\n%s", err, p.log.String())
		}
	}
	in, err := os.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	records, err := trace.Read(in)
	answered := 0
	for _, r := range records {
		if r.Kind == trace.RPCFinished && r.Text == "ok" {
			answered++
		}
	}
	if err != nil || answered == 0 {
		t.Fatalf("%d RPCs answered, %v", answered, err)
	}
}
