package standin

import (
	"strconv"
	"strings"

	"gingerfork/internal/machine"
	"gingerfork/internal/proto"
	"gingerfork/internal/trace"
)

// Store is where servers note tokens: it drops a repeat within the window, wherever it runs.
type Store struct {
	Window machine.Seconds
	seen   map[uint64]machine.Seconds
}

// first tells whether a token is new, and notes it.
func (s *Store) first(token uint64, now machine.Seconds) bool {
	if s.seen == nil {
		s.seen = map[uint64]machine.Seconds{}
	}
	at, ok := s.seen[token]
	s.seen[token] = now
	return !ok || now > at+s.Window
}

// ServerTrade says what a server is.
type ServerTrade struct {
	EP           proto.EP
	Zone         string
	Capacity     float64 // RPCs a second when warm
	Workers      int
	QueueMost    int
	Cold         bool // its process starts now, not long ago
	ColdShare    float64
	WarmAfter    machine.Seconds
	FallMultiple float64
	FallWindow   machine.Seconds
	Probes       int // at once
	Seed         uint64
	Store        *Store
}

// Server is a small server: workers behind a bounded queue, cold for a while after its start, and down for good when
// it is overloaded while cold.
type Server struct {
	trade    ServerTrade
	start    machine.Seconds
	begun    bool
	dice     dice
	timers   timers
	callers  map[machine.Conn]*caller
	queue    []*job
	busy     int
	arrived  []machine.Seconds // within the window, while cold
	worst    float64           // of the bound, what came at most
	fallen   bool
	draining bool
	hang     bool
	fast     bool            // fails at once
	fails    int             // this method fails; -1: none
	from     string          // RPCs of this coordinator's proxies fail
	slow     float64         // times as long
	part     float64         // share that fails at once
	dear     float64         // times as long for one RPC in ten
	shake    machine.Seconds // what a new connection waits for
	most     int             // connections; 0: any number
	out      *machine.Out
}

type caller struct {
	conn    machine.Conn
	reader  proto.Reader
	hello   bool
	shaking bool // its handshake is not done
	name    string
	holds   string
}

type job struct {
	caller *caller
	rpc    proto.RPC
	end    machine.Seconds // when its client gives up
}

// NewServer makes one.
func NewServer(t ServerTrade) *Server {
	return &Server{trade: t, dice: dice{seed: t.Seed}, callers: map[machine.Conn]*caller{}, fails: -1, slow: 1}
}

// Step implements machine.Machine.
func (s *Server) Step(now machine.Seconds, in []machine.Input, out *machine.Out) {
	s.out = out
	if !s.begun {
		s.begun, s.start = true, now
		if !s.trade.Cold {
			s.start = now - s.trade.WarmAfter
		} else {
			out.Record(trace.Record{T: now, Kind: trace.Start, EP: s.trade.EP, X: s.trade.Capacity})
		}
	}
	s.timers.ring(now)
	for _, i := range in {
		switch i.Kind {
		case machine.Opened:
			if s.fallen || s.most > 0 && len(s.callers) >= s.most {
				out.Kill(i.Conn)
				continue
			}
			c := &caller{conn: i.Conn}
			s.callers[i.Conn] = c
			if c.shaking = s.shake > 0; c.shaking {
				s.timers.at(now+s.shake, func(now machine.Seconds) {
					c.shaking = false
					s.read(now, c)
				})
			}
		case machine.Closed:
			delete(s.callers, i.Conn)
		case machine.Told:
			s.told(now, i.Text)
		case machine.Data:
			if c := s.callers[i.Conn]; c != nil {
				c.reader.Feed(i.Data)
				if !c.shaking {
					s.read(now, c)
				}
			}
		}
	}
	s.timers.wake(out)
}

func (s *Server) read(now machine.Seconds, c *caller) {
	for s.callers[c.conn] == c {
		msg, err := c.reader.Next()
		if err != nil {
			s.out.Write(c.conn, proto.Append(nil, proto.Refuse{Reason: err.Error()}))
			s.out.Close(c.conn)
			delete(s.callers, c.conn)
			return
		}
		switch m := msg.(type) {
		case nil:
			return
		case proto.Hello:
			c.hello, c.name, c.holds = true, m.Name, m.Holds
			c.reader.Open()
			s.out.Write(c.conn, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: strconv.Itoa(int(s.trade.EP))}))
		case proto.Probe:
			s.probe(now, c, m)
		case proto.RPC:
			s.rpc(now, c, m)
		}
	}
}

func (s *Server) reply(c *caller, id uint64, status proto.Status) {
	if s.callers[c.conn] == c {
		s.out.Write(c.conn, proto.Append(nil, proto.Reply{ID: id, Status: status}))
	}
}

func (s *Server) probe(now machine.Seconds, c *caller, m proto.Probe) {
	if s.hang {
		return
	}
	status := proto.OK
	if s.draining {
		status = proto.PushedBack
	}
	// A probe waits its turn like any work, but is cheap.
	s.timers.at(now+float64(len(s.queue))/s.present(now), func(machine.Seconds) {
		if s.callers[c.conn] == c && !s.hang {
			s.out.Write(c.conn, proto.Append(nil, proto.ProbeReply{ID: m.ID, Status: status}))
		}
	})
}

// warmth is the share of its capacity that it has: it grows evenly from the cold share.
func (s *Server) warmth(now machine.Seconds) float64 {
	if age := now - s.start; age < s.trade.WarmAfter {
		return s.trade.ColdShare + (1-s.trade.ColdShare)*age/s.trade.WarmAfter
	}
	return 1
}

func (s *Server) present(now machine.Seconds) float64 {
	return s.trade.Capacity * s.warmth(now) / s.slow
}

// topple counts what comes to a cold server, and tells whether it was too much.
func (s *Server) topple(now machine.Seconds) bool {
	t := s.trade
	if s.warmth(now) >= 1 || t.FallWindow <= 0 {
		return false
	}
	s.arrived = append(s.arrived, now)
	for s.arrived[0] < now-t.FallWindow {
		s.arrived = s.arrived[1:]
	}
	bound := t.FallMultiple*t.Capacity*s.warmth(now)*t.FallWindow + 2
	part := float64(len(s.arrived)) / bound
	if part > s.worst+0.05 {
		s.worst = part
		s.out.Record(trace.Record{T: now, Kind: trace.Offer, EP: t.EP, X: part, N: int64(len(s.arrived))})
	}
	return part > 1
}

func (s *Server) rpc(now machine.Seconds, c *caller, m proto.RPC) {
	if s.topple(now) {
		s.fallen = true
		s.out.Record(trace.Record{T: now, Kind: trace.Fall, EP: s.trade.EP})
		for _, x := range sortedConns(s.callers) {
			s.out.Kill(x)
		}
		clear(s.callers)
		s.queue = nil
		return
	}
	switch {
	case s.hang:
	case s.fast, s.fails == int(m.Method), s.from != "" && s.from == c.holds, s.part > 0 && s.dice.draw() < s.part:
		s.timers.at(now+0.002, func(machine.Seconds) { s.reply(c, m.ID, proto.Aborted) })
	case s.draining, len(s.queue) >= s.trade.QueueMost:
		s.reply(c, m.ID, proto.PushedBack)
	default:
		s.queue = append(s.queue, &job{c, m, now + m.Left})
		s.work(now)
	}
}

// work starts what workers are free for.
func (s *Server) work(now machine.Seconds) {
	for s.busy < s.trade.Workers && len(s.queue) > 0 && !s.hang {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if now > j.end {
			continue // its client gave up; it never runs
		}
		s.busy++
		fresh := j.rpc.Token == 0 || s.trade.Store == nil || s.trade.Store.first(j.rpc.Token, now)
		if fresh {
			r := trace.Record{T: now, Kind: trace.Run, EP: s.trade.EP, RPC: j.rpc.ID, Method: int(j.rpc.Method)}
			if j.rpc.Token != 0 {
				r.Text = strconv.FormatUint(j.rpc.Token, 10)
			}
			s.out.Record(r)
		}
		takes := s.dice.wait(s.present(now) / float64(s.trade.Workers))
		if s.dear > 0 && s.dice.draw() < 0.1 {
			takes *= s.dear
		}
		s.timers.at(now+takes, func(now machine.Seconds) { s.finish(now, j) })
	}
}

func (s *Server) finish(now machine.Seconds, j *job) {
	if s.fallen {
		return
	}
	if s.hang {
		s.timers.at(now+0.1, func(now machine.Seconds) { s.finish(now, j) })
		return
	}
	s.busy--
	s.reply(j.caller, j.rpc.ID, proto.OK)
	s.work(now)
}

// told takes a script's word: hang, fast, part SHARE, method N, from COORDINATOR, slow FACTOR, dear FACTOR, shake SECONDS,
// conns N, drain, or heal with one of these words or none for all.
func (s *Server) told(now machine.Seconds, text string) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "hang":
		s.hang = true
	case "fast":
		s.fast = true
	case "part":
		s.part, _ = strconv.ParseFloat(rest, 64)
	case "method":
		s.fails, _ = strconv.Atoi(rest)
	case "from":
		s.from = rest
	case "slow":
		if f, err := strconv.ParseFloat(rest, 64); err == nil && f > 0 {
			s.slow = f
		}
	case "dear":
		s.dear, _ = strconv.ParseFloat(rest, 64)
	case "shake":
		s.shake, _ = strconv.ParseFloat(rest, 64)
	case "conns":
		s.most, _ = strconv.Atoi(rest)
	case "drain":
		s.draining = true
	case "heal":
		s.heal(rest)
		s.work(now)
	default:
		s.out.Log(2, "unknown word", "word", text)
	}
}

func (s *Server) heal(what string) {
	for word, off := range map[string]func(){"hang": func() { s.hang = false }, "fast": func() { s.fast = false },
		"part": func() { s.part = 0 }, "method": func() { s.fails = -1 }, "from": func() { s.from = "" },
		"slow": func() { s.slow = 1 }, "dear": func() { s.dear = 0 }, "shake": func() { s.shake = 0 },
		"conns": func() { s.most = 0 }, "drain": func() { s.draining = false }} {
		if what == "" || what == word {
			off()
		}
	}
}
