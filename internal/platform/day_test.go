package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
)

// The stand-ins of this file are written from the platform's pages: discovery and the servers, which speak HTTP, and a
// crowd of proxies with their collectors.

type standinHost struct {
	health string
	born   float64
	seq    int
}

// registry is discovery, and all servers beside it.
type registry struct {
	seq     int
	hosts   map[string]*standinHost
	mode    string // "": it answers; 503, hang, reset, cut (an answer breaks off), bad (no JSON)
	chunked bool
	waits   map[statemachine.Conn]wait
	buf     map[statemachine.Conn]string
	calls   int
	most    int // calls under way at once, of each coordinator
	dead    map[int]bool
	probes  int
}

type wait struct {
	since int
	due   statemachine.Seconds
}

func (d *registry) set(name, health string, born float64) {
	d.seq++
	d.hosts[name] = &standinHost{health, born, d.seq}
}

func (d *registry) reply(c statemachine.Conn, whole bool, since int, out *statemachine.Effects) {
	type entry map[string]any
	hosts := []entry{}
	var names []string
	for n := range d.hosts {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		if h := d.hosts[n]; whole && h.health != "left" || !whole && h.seq > since {
			zone := "a"
			if n[len(n)-1]%2 == 1 {
				zone = "b"
			}
			hosts = append(hosts, entry{"host": n, "dial": "servers", "site": zone, "class": "m2", "block": 1, "health": h.health, "share": 1.5, "born_ms": h.born * 1000})
		}
	}
	body, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
	switch d.mode {
	case "503":
		out.Write(c, []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	case "hang":
	case "reset":
		out.Abort(c)
	case "cut":
		out.Write(c, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		out.Close(c)
	case "bad":
		out.Write(c, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"))
	default:
		if d.chunked = !d.chunked; !d.chunked {
			out.Write(c, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			return
		}
		out.Write(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for len(body) > 0 {
			n := min(len(body), 100)
			out.Write(c, fmt.Appendf(nil, "%x\r\n%s\r\n", n, body[:n]))
			body = body[n:]
		}
		out.Write(c, []byte("0\r\n\r\n"))
	}
}

func (d *registry) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnClosed:
			delete(d.waits, i.Conn)
			delete(d.buf, i.Conn)
		case statemachine.ConnData:
			d.buf[i.Conn] += string(i.Data)
			if !strings.HasSuffix(d.buf[i.Conn], "\r\n\r\n") {
				continue
			}
			path := strings.Fields(d.buf[i.Conn])[1]
			d.buf[i.Conn] = ""
			if strings.HasPrefix(path, "/-/") {
				if d.probes++; !d.dead[d.probes%5] {
					out.Write(i.Conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
				continue
			}
			d.calls++
			since, timeout := -1, 0
			if _, q, ok := strings.Cut(path, "?"); ok {
				fmt.Sscanf(q, "since=%d&timeout_ms=%d", &since, &timeout)
			}
			if since < 0 || d.seq > since || timeout == 0 || d.mode != "" {
				d.reply(i.Conn, since < 0, since, out)
			} else {
				d.waits[i.Conn] = wait{since, now + float64(timeout)/1000}
			}
			d.most = max(d.most, len(d.waits))
		}
	}
	for c, w := range d.waits {
		if d.seq > w.since || now >= w.due {
			delete(d.waits, c)
			d.reply(c, false, w.since, out)
		} else {
			out.WakeBy(w.due)
		}
	}
}

// crowd is all proxies, and two collectors at each coordinator.
type crowd struct {
	t       *testing.T
	doors   []string
	all     []*standinProxy
	by      map[statemachine.Conn]*standinProxy
	n       statemachine.Conn
	late    map[string][]statemachine.Conn // collectors' connections by door
	known   func(string) bool
	rude    map[statemachine.Conn]statemachine.Seconds // strangers, and when they came
	worst   statemachine.Seconds                       // that one was kept
	refused int
	next    statemachine.Seconds
	good    map[string]bool // servers that answer
	dice    *rand.Rand
}

type standinProxy struct {
	n      int
	zone   string
	conn   statemachine.Conn
	door   int
	up     bool
	since  statemachine.Seconds
	redial statemachine.Seconds
	buf    string
	lines  map[string]float64
	out    map[string]bool
	levels map[string]string // by method, as told: level and way of trying again
	fresh  bool
	pushes int
	first  bool // the first message on a stream must not be a delta
	mute   bool // it answers nothing
}

func newCrowd(t *testing.T, n int, known func(string) bool, doors ...string) *crowd {
	c := &crowd{t: t, doors: doors, by: map[statemachine.Conn]*standinProxy{}, late: map[string][]statemachine.Conn{}, known: known,
		rude: map[statemachine.Conn]statemachine.Seconds{}, good: map[string]bool{}, dice: rand.New(rand.NewPCG(7, 7)), n: statemachine.Dialed}
	for i := range n {
		c.all = append(c.all, &standinProxy{n: i, zone: string(rune('a' + i%2)), door: i % len(doors), lines: map[string]float64{}, out: map[string]bool{}, levels: map[string]string{}, fresh: true})
	}
	return c
}

func (c *crowd) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	c.n++
	out.Dial(c.n, addr)
	return c.n
}

// usable gives the servers that a proxy may send to.
func (p *standinProxy) usable() (all []string) {
	for s := range p.lines {
		if !p.out[s] {
			all = append(all, s)
		}
	}
	return all
}

func (c *crowd) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		p := c.by[i.Conn]
		switch i.Kind {
		case statemachine.OperatorCommand:
			c.told(now, strings.Fields(i.Text), out)
		case statemachine.ConnOpened:
			if p != nil {
				fresh := 0
				if p.fresh {
					fresh = 1
				}
				p.up, p.since, p.buf, p.first = true, now, "", true
				out.Write(i.Conn, fmt.Appendf(nil, "attach proxy=%d zone=%s weight=5.0 fresh=%d\r\n", p.n, p.zone, fresh))
			}
			for door, all := range c.late {
				if at := slices.Index(all, i.Conn); at >= 0 {
					_ = door
					out.Write(i.Conn, fmt.Appendf(nil, "telemetry zone=%c\r\n", 'a'+at))
				}
			}
			if _, ok := c.rude[i.Conn]; ok {
				c.rude[i.Conn] = now
				out.Write(i.Conn, []byte([]string{"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "atta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n",
					"assign whole=1\r\n", "\x00\xff", "telemetry zone=nowhere\r\n"}[i.Conn%8]))
			}
		case statemachine.ConnClosed:
			if at, ok := c.rude[i.Conn]; ok {
				c.worst = max(c.worst, now-at)
				c.refused++
				delete(c.rude, i.Conn)
			}
			if p != nil && p.conn == i.Conn {
				p.up, p.conn, p.redial = false, 0, now+0.1
				p.door = (p.door + 1) % len(c.doors)
			}
			delete(c.by, i.Conn)
			for door, all := range c.late {
				if slices.Contains(all, i.Conn) {
					delete(c.late, door)
				}
			}
		case statemachine.ConnData:
			if p != nil && p.conn == i.Conn {
				c.heard(now, p, string(i.Data), out)
			}
		}
	}
	for _, p := range c.all {
		if p.conn == 0 && now >= p.redial {
			p.conn = c.dial(c.doors[p.door], out)
			c.by[p.conn] = p
		}
	}
	if now >= c.next {
		c.next = now + 1
		c.report(out)
	}
	out.WakeBy(c.next)
	out.WakeBy(now + 0.05)
}

func (c *crowd) told(now statemachine.Seconds, words []string, out *statemachine.Effects) {
	switch words[0] {
	case "break": // the stream ends; its proxy comes back, perhaps before the end is seen
		n, _ := strconv.Atoi(words[1])
		p := c.all[n]
		if p.up {
			if now-p.since < 0.001 {
				return
			}
			old := p.conn
			p.up, p.conn, p.redial = false, 0, now
			delete(c.by, old)
			if words[2] == "late" {
				p.conn = c.dial(c.doors[p.door], out)
				c.by[p.conn] = p
			}
			out.Abort(old)
		}
	case "dumb": // its machine is cut off without a word: the stream stands, and the proxy is elsewhere
		n, _ := strconv.Atoi(words[1])
		p := c.all[n]
		delete(c.by, p.conn)
		p.up, p.conn, p.redial, p.door = false, 0, now, 1-p.door
	case "noise":
		n, _ := strconv.Atoi(words[1])
		if p := c.all[n]; p.up {
			out.Write(p.conn, []byte("client_stats proxy=-3 class=read tries=1 failed=0 span_ms=1\r\ndone proxy=1 mark=zz took_ms=1\r\ndone proxy=400 mark=3 took_ms=1\r\n"))
		}
	case "rude":
		conn := c.dial(c.doors[0], out)
		c.rude[conn] = now
	}
}

func (c *crowd) heard(now statemachine.Seconds, p *standinProxy, s string, out *statemachine.Effects) {
	p.buf += s
	for {
		l, rest, ok := strings.Cut(p.buf, "\r\n")
		if !ok {
			return
		}
		p.buf = rest
		words := strings.Fields(l)
		if words[0] != "assign" {
			c.t.Fatalf("proxy %d is told %q", p.n, l)
		}
		p.pushes++
		methods, level := []string{"read", "submit"}, ""
		for _, w := range words[1:] {
			k, v, _ := strings.Cut(w, "=")
			switch k {
			case "whole":
				clear(p.lines)
				clear(p.levels)
				p.fresh, p.first = false, false
			case "lines":
				if p.first {
					c.t.Errorf("proxy %d gets a delta before a whole table: %q", p.n, l)
				}
				for _, x := range strings.Split(v, ",") {
					name, weight, _ := strings.Cut(x, ":")
					f, err := strconv.ParseFloat(weight, 64)
					if err != nil || f < 0 || !c.known(name) {
						c.t.Fatalf("proxy %d can't use %q", p.n, l)
					}
					if p.lines[name] = f; f == 0 {
						delete(p.lines, name)
					}
				}
			case "out", "back":
				for _, name := range strings.Split(v, ",") {
					if !c.known(name) {
						c.t.Fatalf("proxy %d can't use %q", p.n, l)
					}
					if p.out[name] = true; k == "back" {
						delete(p.out, name)
					}
				}
			case "classes":
				methods = strings.Split(v, "+")
			case "level":
				level = v
			case "retry":
				for _, m := range methods {
					p.levels[m] = level + "/" + v
				}
			case "more":
			case "ticket":
				if !p.mute {
					out.Write(p.conn, fmt.Appendf(nil, "done proxy=%d mark=%s took_ms=40.5\r\n", p.n, v))
				}
			default:
				c.t.Fatalf("proxy %d can't use %q", p.n, l)
			}
		}
	}
}

func (c *crowd) report(out *statemachine.Effects) {
	met := map[string]map[string]int{}
	for _, p := range c.all {
		if !p.up {
			continue
		}
		out.Write(p.conn, fmt.Appendf(nil, "client_stats proxy=%d class=read tries=5 failed=0 span_ms=1000\r\n", p.n))
		use := p.usable()
		for _, s := range use {
			k := fmt.Sprint(p.door, p.zone)
			if met[k] == nil {
				met[k] = map[string]int{}
			}
			met[k][s] += 5
		}
	}
	for d, door := range c.doors {
		if c.late[door] == nil {
			c.late[door] = []statemachine.Conn{c.dial(door, out), c.dial(door, out)}
			continue
		}
		for z, conn := range c.late[door] {
			b := []byte("upstream_stats zone=a server=never-listed tries=3 failed=0 mean_ms=1 span_ms=1000\r\nupstream_stats zone=a\r\n")
			zone := string(rune('a' + z))
			m := met[fmt.Sprint(d, zone)]
			var names []string
			for s := range m {
				names = append(names, s)
			}
			slices.Sort(names)
			for _, s := range names {
				bad := 0
				if !c.good[s] {
					bad = m[s]
				}
				b = fmt.Appendf(b, "upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=1000\r\n", zone, s, m[s], bad, 100.0)
			}
			out.Write(conn, b)
		}
	}
}

func settings(proxies int, coordinators int) map[string]any {
	return map[string]any{"listing": "asked", "ask_within": 10.0, "cold_share": 0.3, "warm_after": 10.0, "drain_grace": 2.0, "fall_multiple": 2.5,
		"channel_room": 20000.0, "channel_pace": 10000.0, "message_lines": 10.0, "messages": 30.0, "messages_span": 10.0, "push_time": 0.1,
		"push_time_worst": 0.3, "proxies": float64(proxies), "level_kind": "none", "report_period": 1.0, "probes": true, "try_wait": 0.8, "tick": 0.004,
		"zone": "a", "zones.0": "a", "zones.1": "b", "method.n": 2.0, "method.0.name": "read", "method.0.effect": "idempotent", "pick": "pair", "strikes": 5.0,
		"method.0.soft_deadline": 1.0, "method.0.criticality": 1.0, "method.1.name": "submit", "method.1.effect": "non-idempotent", "bare_limit": 3.7,
		"method.1.soft_deadline": 1.0, "method.1.criticality": 2.0, "coordinators": float64(coordinators)}
}

// town is a network with two coordinators, discovery and a crowd.
type town struct {
	t     *testing.T
	w     *simnet.Network
	disco *registry
	crowd *crowd
	nodes []*Machine
	ever  map[string]bool
}

func newTown(t *testing.T, seed uint64, servers, proxies int) *town {
	x := &town{t: t, w: simnet.New(seed, 1000, 0.0005, 0.002), ever: map[string]bool{}, nodes: make([]*Machine, 2)}
	x.disco = &registry{hosts: map[string]*standinHost{}, waits: map[statemachine.Conn]wait{}, buf: map[statemachine.Conn]string{}, dead: map[int]bool{}}
	x.crowd = newCrowd(t, proxies, func(s string) bool { return x.ever[s] }, "c0:1", "c1:1")
	for i := range servers {
		x.list(fmt.Sprintf("s-%04d", i), "active", 0)
	}
	x.w.AddNode("disco", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return x.disco }, "disco:1", "disco:2", "servers")
	for i := range x.nodes {
		name := fmt.Sprint("c", i)
		x.w.AddNode(name, "a", func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
			m, err := New(Bootstrap{Name: name, Discovery: "disco:1", Module: choice.Config{Seed: seed, Now: now, Settings: choice.DecodeSettings(settings(proxies, 2))},
				MostConns: 4 * proxies, MostProbes: 4, MostAnswer: 1 << 20, Handshake: 1})
			if err != nil {
				t.Fatal(err)
			}
			x.nodes[i] = m
			return m
		}, name+":1")
	}
	x.w.AddNode("crowd", "b", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return x.crowd })
	for _, n := range []string{"disco", "c0", "c1", "crowd"} {
		x.w.Start(n)
	}
	return x
}

func (x *town) list(name, health string, born float64) {
	x.ever[name] = true
	x.crowd.good[name] = true
	x.disco.set(name, health, born)
	if x.w.Running("disco") {
		x.w.SendCommand("disco", "changed")
	}
}

func (x *town) run(span statemachine.Seconds) {
	x.t.Helper()
	x.w.RunUntil(x.w.Now() + span)
	if len(x.w.Failures) > 0 {
		x.t.Fatal(x.w.Failures)
	}
}

// believed compares, for every joined proxy, what its coordinator takes it to hold with what it holds.
func (x *town) believed() {
	x.t.Helper()
	joined := 0
	for i, m := range x.nodes {
		if !x.w.Running(fmt.Sprint("c", i)) {
			continue
		}
		for _, s := range m.streams {
			if s == nil {
				continue
			}
			joined++
			p := x.crowd.all[s.proxy]
			want, shut := map[string]float64{}, map[string]bool{}
			for _, op := range m.book.BoundTables(s.follower) {
				for _, g := range op.Admissions {
					for i, name := range m.methods {
						if told := fmt.Sprintf("%v/%d", g.Level, g.Retry); g.Methods>>i&1 == 1 && p.levels[name] != told {
							x.t.Errorf("proxy %d has level %s for %s, c%d believes %s", p.n, p.levels[name], name, p.door, told)
						}
					}
				}
				for _, l := range op.Entries {
					name := m.roll.servers[l.Backend].name
					want[name] = l.Weight
					shut[name] = l.Excluded
				}
			}
			if p.door != i || !p.up {
				x.t.Errorf("c%d takes proxy %d to be joined, and it is not", i, p.n)
			}
			if len(want) != len(p.lines) {
				x.t.Errorf("proxy %d holds %v, c%d believes %v", p.n, p.lines, i, want)
			}
			for name, w := range want {
				if d := p.lines[name] - w; d > 1e-5 || d < -1e-5 || p.out[name] != shut[name] {
					x.t.Errorf("proxy %d has %s at %v (out %v), c%d believes %v (out %v)", p.n, name, p.lines[name], p.out[name], i, w, shut[name])
				}
			}
			if len(s.marks) > 0 {
				x.t.Errorf("proxy %d answered all, and marks %v are taken to be in flight", p.n, s.marks)
			}
		}
	}
	if joined != len(x.crowd.all) {
		x.t.Errorf("%d of %d proxies are joined", joined, len(x.crowd.all))
	}
}

// served checks that nobody is bare and nobody may send to what left or drains.
func (x *town) served() {
	x.t.Helper()
	for _, p := range x.crowd.all {
		use := p.usable()
		if len(use) == 0 {
			x.t.Errorf("proxy %d has nobody to send to", p.n)
		}
		for _, s := range use {
			if h := x.disco.hosts[s]; h.health != "active" {
				x.t.Errorf("proxy %d may send to %s, which is %s", p.n, s, h.health)
			}
		}
	}
}

func TestCalmDay(t *testing.T) {
	x := newTown(t, 1, 12, 20)
	x.run(10)
	x.believed()
	x.served()
	x.list("s-0003", "leaving", 0)
	x.list("s-0004", "left", 0)
	x.run(5)
	x.believed()
	x.served()
	x.list("s-0004", "active", x.w.Now())
	x.run(30)
	x.believed()
	x.served()
	used := false
	for _, p := range x.crowd.all {
		used = used || slices.Contains(p.usable(), "s-0004")
	}
	if !used {
		t.Error("a server that came back is used by nobody")
	}
	if x.disco.most > 2 {
		t.Errorf("%d calls waited at once for two coordinators", x.disco.most)
	}
	if x.disco.calls > 60 {
		t.Errorf("%d calls in 45 s", x.disco.calls)
	}
}

// A rough day, drawn from a seed: streams break in both orders, coordinators die, discovery fails in each of its ways,
// servers come and go, strangers and noise. Afterwards what is believed must be what is.
func TestRoughDays(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			x := newTown(t, seed, 12, 16)
			dice := rand.New(rand.NewPCG(seed, 99))
			x.run(4)
			for range 120 {
				switch dice.IntN(12) {
				case 0, 1, 2:
					x.w.SendCommand("crowd", fmt.Sprintf("break %d %s", dice.IntN(16), []string{"late", "plain"}[dice.IntN(2)]))
				case 3:
					x.disco.mode = []string{"503", "hang", "reset", "cut", "bad"}[dice.IntN(5)]
				case 4, 5:
					x.disco.mode = ""
				case 6:
					name := fmt.Sprintf("s-%04d", dice.IntN(12))
					x.list(name, []string{"leaving", "left"}[dice.IntN(2)], 0)
				case 7, 8:
					for n, h := range x.disco.hosts {
						if h.health != "active" {
							x.list(n, "active", x.w.Now())
						}
					}
				case 9:
					n := fmt.Sprint("c", dice.IntN(2))
					x.w.Kill(n)
					x.run(dice.Float64())
					x.w.Start(n)
				case 10:
					x.w.SendCommand("crowd", fmt.Sprintf("noise %d", dice.IntN(16)))
				case 11:
					x.w.SendCommand("crowd", "rude")
				}
				x.run(dice.Float64())
			}
			x.disco.mode = ""
			for n, h := range x.disco.hosts {
				if h.health != "active" {
					x.list(n, "active", x.w.Now())
				}
			}
			x.run(40)
			x.believed()
			x.served()
			if len(x.crowd.rude) > 0 || x.crowd.worst > 1.1 {
				t.Errorf("%d strangers are still kept, one was for %.2f s", len(x.crowd.rude), x.crowd.worst)
			}
			for i, m := range x.nodes {
				if m.figures.Failures > 0 {
					t.Errorf("c%d: its module failed", i)
				}
			}
		})
	}
}

// The new address is used at once, what was missed is told, and no stream, table or mark is lost.
func TestDiscoveryMoves(t *testing.T) {
	x := newTown(t, 3, 8, 8)
	x.run(5)
	joins, pushes := x.nodes[0].figures.Joins, x.crowd.all[0].pushes
	boot := x.nodes[0].boot
	for k := range 3 {
		boot.Discovery = fmt.Sprint("disco:", 2-k%2)
		x.nodes[0].Renew(boot)
		x.run(0.3)
	}
	if got := x.nodes[0].list.addr; got != "disco:2" {
		t.Fatalf("it asks %s", got)
	}
	x.list("s-0001", "leaving", 0)
	x.run(3)
	x.believed()
	x.served()
	if x.nodes[0].figures.Joins != joins || x.crowd.all[0].pushes > pushes+4 {
		t.Errorf("%d joins, %d before; %d pushes, %d before", x.nodes[0].figures.Joins, joins, x.crowd.all[0].pushes, pushes)
	}
}

// A proxy whose machine was cut off without a word, and which is elsewhere by now, is not taken to be joined for ever.
func TestIdleStreamsEnd(t *testing.T) {
	x := newTown(t, 4, 8, 8)
	x.run(5)
	x.w.SendCommand("crowd", "dumb 0")
	x.run(1)
	x.list("s-0001", "leaving", 0) // what it is told of now, it never answers
	x.run(20)
	x.believed()
	x.served()
	if x.nodes[0].figures.IdledOut+x.nodes[1].figures.IdledOut != 1 {
		t.Errorf("%d and %d streams were ended as idle", x.nodes[0].figures.IdledOut, x.nodes[1].figures.IdledOut)
	}
}

// What one step orders of a proxy is one message, with the last word on each line; levels that say the same are joined,
// tables of some methods name them, and a server that others may have shut out is let back with its line.
func TestPartsOfAMessage(t *testing.T) {
	m, err := New(Bootstrap{Discovery: "d", Known: []byte(`{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0},
		{"host":"s-2","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0}]}`), Module: choice.Config{Now: 1, Settings: choice.DecodeSettings(settings(2, 1))}})
	if err != nil {
		t.Fatal(err)
	}
	one, two := m.roll.numbers["s-1"], m.roll.numbers["s-2"]
	s := &stream{proxy: 1, follower: m.book.Join(1), told: map[choice.BackendID]bool{}}
	for _, o := range []choice.Command{choice.SetTableEntry{Table: 2, Backend: one, Weight: 1.5}, choice.SetTableEntry{Table: 2, Backend: two, Weight: 1}, choice.SetExclusion{Backend: two, Excluded: true},
		choice.SetAdmission{Table: 2, Methods: 1, Level: 1, Retry: 1}, choice.SetAdmission{Table: 2, Methods: 2, Level: 1, Retry: 1}, choice.SetTableEntry{Table: 3, Backend: one, Weight: 2},
		choice.BindTable{Proxy: 1, Table: 2, Methods: 3}, choice.BindTable{Proxy: 1, Table: 3, Methods: 2}, choice.SetTableEntry{Table: 3, Backend: one, Weight: 4}} {
		if !m.book.Apply(o) {
			t.Fatalf("%T is not carried out", o)
		}
	}
	mark := choice.Nonce(9)
	messages, _ := m.book.Flush(nil)
	got := string(wire.Append(nil, m.parts(s, messages[0].Ops, &mark)))
	first, second := "s-1:1.5", "s-2:1"
	if two < one {
		first, second = second, first
	}
	want := "assign whole=1 lines=" + first + "," + second + " level=1 retry=1 more=1\r\nassign classes=submit whole=1 lines=s-1:4"
	if !strings.HasPrefix(got, want) || !strings.Contains(got, " out=s-2 back=s-1 ticket=9\r\n") || len(messages) != 1 {
		t.Errorf("%d messages, the first is %q", len(messages), got)
	}
	m.book.Apply(choice.ClearTable{Table: 3})
	m.book.Apply(choice.SetExclusion{Backend: two})
	messages, _ = m.book.Flush(nil)
	if got := string(wire.Append(nil, m.parts(s, messages[0].Ops, nil))); got != "assign classes=submit whole=1 back=s-2\r\n" {
		t.Errorf("then %q", got)
	}
}

// A module that fails, and an input that makes us panic, cost what they must: a fresh instance, and one connection.
func TestFailuresAreSurvived(t *testing.T) {
	x := newTown(t, 6, 8, 8)
	x.run(5)
	m := x.nodes[0]
	m.planner = nil // its next step panics
	x.run(10)
	x.believed()
	x.served()
	if m.figures.Failures != 1 {
		t.Errorf("%d failures were seen", m.figures.Failures)
	}
	for _, s := range m.streams {
		if s != nil {
			s.session.stream = nil // its next bytes make us panic
			break
		}
	}
	x.run(10)
	x.believed()
	x.served()
	if m.figures.Panics != 1 {
		t.Errorf("%d inputs were seen to panic", m.figures.Panics)
	}
}

// Older lists are refused, whole or not, and after one all is asked for; one that stays older is believed.
func TestOlderLists(t *testing.T) {
	r := newRoll()
	for i, c := range []struct {
		seq   int64
		whole bool
		taken bool
	}{{40, true, true}, {39, false, false}, {41, false, true}, {30, true, false}, {31, true, false}, {32, false, false}, {33, true, true}, {34, false, true}} {
		hosts := []host{}
		_, err := r.news(1, &list{Seq: (*whole)(&c.seq), Whole: c.whole, Hosts: &hosts})
		if (err == nil) != c.taken || r.partial() == c.taken {
			t.Errorf("%d: %v, asks for all: %v", i, err, r.partial())
		}
	}
}

func told(s *stream) map[choice.BackendID]bool {
	if s == nil {
		return nil
	}
	return s.told
}

// A long life: thousands of servers, streams and strangers come and go; nothing grows beyond what is alive and what was
// in the time that names are kept.
func TestNothingGrows(t *testing.T) {
	x := newTown(t, 5, 8, 6)
	x.run(3)
	grown := func() (n int) {
		m := x.nodes[0]
		n = len(m.sessions) + len(m.strange) + len(m.events) + len(m.lost) + len(m.ill) + len(m.probes.queue) + len(m.roll.servers) + len(m.roll.numbers) + m.book.TableCount()
		for _, s := range m.streams {
			if s != nil {
				n += len(s.told) + len(s.marks)
			}
		}
		return n
	}
	now, half, born := 8, 0, 0
	for i := range 1200 {
		// Eight stay; three more come and go between two looks, as an endless churn of ids has it.
		x.list(fmt.Sprintf("s-%04d", now), "active", x.w.Now())
		x.list(fmt.Sprintf("s-%04d", now-8), "left", 0)
		now++
		if gone := now - 40; gone > 0 {
			delete(x.disco.hosts, fmt.Sprintf("s-%04d", gone))
		}
		for k := range 3 { // told all at once
			name := fmt.Sprintf("t-%d-%d", i, k)
			x.ever[name], x.crowd.good[name] = true, true
			x.disco.set(name, "active", x.w.Now())
			if i > 0 {
				x.disco.set(fmt.Sprintf("t-%d-%d", i-1, k), "left", 0)
			}
			delete(x.disco.hosts, fmt.Sprintf("t-%d-%d", i-8, k))
			born++
		}
		x.w.SendCommand("disco", "changed")
		for range 9 {
			x.w.SendCommand("crowd", "rude")
		}
		x.w.SendCommand("crowd", fmt.Sprintf("break %d late", i%5))
		x.run(1.5)
		for _, m := range x.nodes {
			for _, s := range m.streams[:len(m.streams)*(1-min(i%10, 1))] { // each tenth time: it is the dearest look
				for ep := range told(s) {
					if m.roll.servers[ep] == nil {
						t.Fatalf("what proxy %d was told of a server is kept longer than the server's name", s.proxy)
					}
				}
			}
		}
		if i == 600 {
			half = grown()
		}
	}
	if end := grown(); end > half+half/10 {
		t.Errorf("it holds %d things, %d at half the time", end, half)
	}
	if joins := x.nodes[0].figures.Joins + x.nodes[1].figures.Joins; joins < 1000 || x.crowd.refused < 10000 || born < 3600 {
		t.Errorf("only %d joins, %d strangers and %d servers were seen", joins, x.crowd.refused, born)
	}
}
