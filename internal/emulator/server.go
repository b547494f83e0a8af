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
type Backend struct {
	trade   Config
	model   *Model
	readers map[statemachine.Conn]*proto.Reader
	out     *statemachine.Effects
	glance  Seconds // when it tells of itself next
	late    Seconds // the most since the last time
}

// NewServer makes one, whose process starts at its first step.
func NewBackend(t Config) *Backend {
	return &Backend{trade: t, readers: map[statemachine.Conn]*proto.Reader{}}
}

// Step implements machine.Machine.
func (s *Backend) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	s.out = out
	if s.model == nil {
		s.model = NewModel(s.trade, now)
		if s.trade.StartsCold {
			out.Record(trace.Record{Time: now, Kind: trace.BackendStarted, Backend: s.trade.Backend, Value: s.trade.Capacity([]float64{1})})
		}
	}
	s.late = max(s.late, now-s.model.NextTimer())
	s.do(now, s.model.Advance(now))
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			s.readers[i.Conn] = &proto.Reader{}
			s.model.Connect(ConnID(i.Conn), "")
		case statemachine.ConnClosed:
			delete(s.readers, i.Conn)
			s.model.Disconnect(ConnID(i.Conn))
		case statemachine.OperatorCommand:
			if err := s.Command(i.Text); err != nil {
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
	if at := s.model.NextTimer(); !math.IsInf(at, 1) {
		out.WakeBy(at)
	}
	if every := s.trade.SampleInterval; every > 0 {
		if now >= s.glance {
			s.glance = now + every
			s.look(now)
		}
		out.WakeBy(s.glance)
	}
}

// look tells how it is, and how late it did what was due.
func (s *Backend) look(now statemachine.Seconds) {
	_, waiting, busy := s.model.Load()
	s.out.Record(trace.Record{Time: now, Kind: trace.BackendSampled, Backend: s.trade.Backend, Value: s.model.Capacity(now, 0), Count: int64(waiting), Text: strconv.FormatFloat(busy, 'g', 3, 64)})
	s.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Backend: s.trade.Backend, Value: max(0, s.late)})
	s.late = 0
}

func (s *Backend) read(c statemachine.Conn, r *proto.Reader) {
	for s.readers[c] == r {
		msg, err := r.Next()
		if err != nil {
			s.out.Write(c, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			s.out.Close(c)
			delete(s.readers, c)
			s.model.Disconnect(ConnID(c))
			return
		}
		switch m := msg.(type) {
		case nil:
			return
		case proto.Hello:
			r.HandshakeDone()
			s.model.SetCoordinator(ConnID(c), m.TablesOf)
			s.out.Write(c, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: fmt.Sprint("server-", s.trade.Backend)}))
		case proto.Probe:
			s.model.Probe(ConnID(c), m.ID)
		case proto.RPC:
			s.model.Submit(ConnID(c), RPC{ID: m.ID, Method: int(m.Method), IdempotencyKey: m.IdempotencyKey, CacheKey: m.CacheKey, TimeLeft: m.TimeLeft})
		}
	}
}

// Able tells what it could do at present of a method, RPCs a second; Load how many RPCs are under way and waiting, and the
// share of its cores that are busy. Whoever watches a rehearsal asks; nobody who takes part in it does.
func (s *Backend) Capacity(now statemachine.Seconds, method int) float64 {
	if s.model == nil {
		return 0
	}
	return s.model.Capacity(now, method)
}

// Load is Model's.
func (s *Backend) Load() (underWay, waiting int, busy float64) {
	if s.model == nil {
		return 0, 0, 0
	}
	return s.model.Load()
}

// do carries out what the model did.
func (s *Backend) do(now statemachine.Seconds, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			s.write(statemachine.Conn(e.Conn), proto.Reply{ID: e.ID, Status: proto.Status(e.Status), HasLoad: e.Load >= 0, Load: max(0, e.Load)})
		case ProbeReply:
			s.write(statemachine.Conn(e.Conn), proto.ProbeReply{ID: e.ID, Status: proto.Status(e.Status)})
		case Executed:
			r := trace.Record{Time: now, Kind: trace.EffectExecuted, Backend: s.trade.Backend, RPCID: e.RPC.ID, Method: e.RPC.Method}
			if e.RPC.IdempotencyKey != 0 {
				r.Text = strconv.FormatUint(e.RPC.IdempotencyKey, 10)
			}
			s.out.Record(r)
		case OverloadApproached:
			s.out.Record(trace.Record{Time: now, Kind: trace.LoadOffered, Backend: s.trade.Backend, Value: e.Ratio, Count: int64(e.RPCs)})
		case Collapsed:
			s.out.Record(trace.Record{Time: now, Kind: trace.BackendCollapsed, Backend: s.trade.Backend})
			all := make([]statemachine.Conn, 0, len(s.readers))
			for c := range s.readers {
				all = append(all, c)
			}
			slices.Sort(all)
			for _, c := range all {
				s.out.Abort(c)
			}
			clear(s.readers)
		case ConnRejected:
			s.out.Abort(statemachine.Conn(e.Conn))
			delete(s.readers, statemachine.Conn(e.Conn))
		}
	}
}

func (s *Backend) write(c statemachine.Conn, m proto.Message) {
	if s.readers[c] != nil {
		s.out.Write(c, proto.Append(nil, m))
	}
}

// Words are the troubles that a server can be told, with what each takes.
var FaultArguments = map[string]string{
	"hang": "", "fast": "", "drain": "", "part": "SHARE", "method": "NUMBER", "from": "COORDINATOR", "slow": "FACTOR",
	"dear": "FACTOR", "shake": "SECONDS", "conns": "NUMBER",
}

// Tell tells the server a trouble, or `heal` with one of them, or alone for all. Hangs add up: each needs its own heal.
func (s *Backend) Command(text string) error {
	word, arg, _ := strings.Cut(text, " ")
	m := s.model
	if word == "heal" {
		if arg != "" {
			if _, known := FaultArguments[arg]; !known {
				return fmt.Errorf("there is no trouble %q to heal", arg)
			}
		}
		for w := range FaultArguments {
			if arg == "" || arg == w {
				m.heal(w, arg == "")
			}
		}
		return nil
	}
	want, known := FaultArguments[word]
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
