package emulator

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Server is an emulated server with its protocol. It is a machine.
type Server struct {
	trade   Trade
	model   *Model
	readers map[statemachine.Conn]*proto.Reader
	out     *statemachine.Effects
	glance  Seconds // when it tells of itself next
	late    Seconds // the most since the last time
}

// NewServer makes one, whose process starts at its first step.
func NewServer(t Trade) *Server {
	return &Server{trade: t, readers: map[statemachine.Conn]*proto.Reader{}}
}

// Step implements machine.Machine.
func (s *Server) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	s.out = out
	if s.model == nil {
		s.model = New(s.trade, now)
		if s.trade.Cold {
			out.Record(trace.Record{Time: now, Kind: trace.BackendStarted, Backend: s.trade.EP, Value: s.trade.Capacity([]float64{1})})
		}
	}
	s.late = max(s.late, now-s.model.Wake())
	s.do(now, s.model.Advance(now))
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			s.readers[i.Conn] = &proto.Reader{}
			s.model.Connect(Caller(i.Conn), "")
		case statemachine.ConnClosed:
			delete(s.readers, i.Conn)
			s.model.Disconnect(Caller(i.Conn))
		case statemachine.OperatorCommand:
			if err := s.Tell(i.Text); err != nil {
				out.Log(2, "word not taken", "word", i.Text, "cause", err.Error())
			}
		case statemachine.ConnData:
			if r := s.readers[i.Conn]; r != nil {
				r.Feed(i.Data)
				s.read(i.Conn, r)
			}
		}
		s.do(now, s.model.Advance(now))
	}
	if at := s.model.Wake(); !math.IsInf(at, 1) {
		out.WakeBy(at)
	}
	if every := s.trade.Glance; every > 0 {
		if now >= s.glance {
			s.glance = now + every
			s.look(now)
		}
		out.WakeBy(s.glance)
	}
}

// look tells how it is, and how late it did what was due.
func (s *Server) look(now statemachine.Seconds) {
	_, waiting, busy := s.model.Load()
	s.out.Record(trace.Record{Time: now, Kind: trace.BackendSampled, Backend: s.trade.EP, Value: s.model.Able(now, 0), Count: int64(waiting), Text: strconv.FormatFloat(busy, 'g', 3, 64)})
	s.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Backend: s.trade.EP, Value: max(0, s.late)})
	s.late = 0
}

func (s *Server) read(c statemachine.Conn, r *proto.Reader) {
	for s.readers[c] == r {
		msg, err := r.Next()
		if err != nil {
			s.out.Write(c, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			s.out.Close(c)
			delete(s.readers, c)
			s.model.Disconnect(Caller(c))
			return
		}
		switch m := msg.(type) {
		case nil:
			return
		case proto.Hello:
			r.HandshakeDone()
			s.model.Follow(Caller(c), m.TablesOf)
			s.out.Write(c, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: fmt.Sprint("server-", s.trade.EP)}))
		case proto.Probe:
			s.model.Probe(Caller(c), m.ID)
		case proto.RPC:
			s.model.Ask(Caller(c), RPC{ID: m.ID, Method: int(m.Method), Token: m.IdempotencyKey, Key: m.CacheKey, Left: m.TimeLeft})
		}
	}
}

// Able tells what it could do at present of a method, RPCs a second; Load how many RPCs are under way and waiting, and the
// share of its cores that are busy. Whoever watches a rehearsal asks; nobody who takes part in it does.
func (s *Server) Able(now statemachine.Seconds, method int) float64 {
	if s.model == nil {
		return 0
	}
	return s.model.Able(now, method)
}

// Load is Model's.
func (s *Server) Load() (underWay, waiting int, busy float64) {
	if s.model == nil {
		return 0, 0, 0
	}
	return s.model.Load()
}

// do carries out what the model did.
func (s *Server) do(now statemachine.Seconds, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			s.write(statemachine.Conn(e.To), proto.Reply{ID: e.ID, Status: proto.Status(e.Status), HasLoad: e.Load >= 0, Load: max(0, e.Load)})
		case Probed:
			s.write(statemachine.Conn(e.To), proto.ProbeReply{ID: e.ID, Status: proto.Status(e.Status)})
		case Ran:
			r := trace.Record{Time: now, Kind: trace.EffectExecuted, Backend: s.trade.EP, RPCID: e.RPC.ID, Method: e.RPC.Method}
			if e.RPC.Token != 0 {
				r.Text = strconv.FormatUint(e.RPC.Token, 10)
			}
			s.out.Record(r)
		case Near:
			s.out.Record(trace.Record{Time: now, Kind: trace.LoadOffered, Backend: s.trade.EP, Value: e.Part, Count: int64(e.RPCs)})
		case Fell:
			s.out.Record(trace.Record{Time: now, Kind: trace.BackendCollapsed, Backend: s.trade.EP})
			all := make([]statemachine.Conn, 0, len(s.readers))
			for c := range s.readers {
				all = append(all, c)
			}
			slices.Sort(all)
			for _, c := range all {
				s.out.Abort(c)
			}
			clear(s.readers)
		case Shut:
			s.out.Abort(statemachine.Conn(e.To))
			delete(s.readers, statemachine.Conn(e.To))
		}
	}
}

func (s *Server) write(c statemachine.Conn, m proto.Message) {
	if s.readers[c] != nil {
		s.out.Write(c, proto.Append(nil, m))
	}
}

// Words are the troubles that a server can be told, with what each takes.
var Words = map[string]string{
	"hang": "", "fast": "", "drain": "", "part": "SHARE", "method": "NUMBER", "from": "COORDINATOR", "slow": "FACTOR",
	"dear": "FACTOR", "shake": "SECONDS", "conns": "NUMBER",
}

// Tell tells the server a trouble, or `heal` with one of them, or alone for all. Hangs add up: each needs its own heal.
func (s *Server) Tell(text string) error {
	word, arg, _ := strings.Cut(text, " ")
	m := s.model
	if word == "heal" {
		if arg != "" {
			if _, known := Words[arg]; !known {
				return fmt.Errorf("there is no trouble %q to heal", arg)
			}
		}
		for w := range Words {
			if arg == "" || arg == w {
				m.heal(w, arg == "")
			}
		}
		return nil
	}
	want, known := Words[word]
	if !known {
		return fmt.Errorf("there is no trouble %q", word)
	}
	v, err := strconv.ParseFloat(arg, 64)
	switch {
	case want == "" && arg != "":
		return fmt.Errorf("%s takes nothing", word)
	case want == "COORDINATOR" && arg != "", want == "":
	case err != nil || !(v >= 0) || math.IsInf(v, 1) || want == "FACTOR" && v <= 0:
		return fmt.Errorf("%s takes a %s, not %q", word, want, arg)
	}
	switch word {
	case "hang":
		m.change(func() { m.hung++ })
	case "fast":
		m.fast = true
	case "drain":
		m.Drain()
	case "part":
		m.part = v
	case "method":
		m.method = int(v)
	case "from":
		m.from = arg
	case "slow":
		m.change(func() { m.slow = v })
	case "dear":
		m.dear = v
	case "shake":
		m.shake = v
	case "conns":
		m.most = int(v)
	}
	return nil
}

func (m *Model) heal(word string, all bool) {
	switch word {
	case "hang":
		m.change(func() {
			if m.hung--; m.hung < 0 || all {
				m.hung = 0
			}
		})
	case "fast":
		m.fast = false
	case "drain":
		m.draining = false
	case "part":
		m.part = 0
	case "method":
		m.method = -1
	case "from":
		m.from = ""
	case "slow":
		m.change(func() { m.slow = 1 })
	case "dear":
		m.dear = 0
	case "shake":
		m.shake = 0
	case "conns":
		m.most = 0
	}
}
