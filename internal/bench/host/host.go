// Package host keeps the instances of the module: it deals each batch out to them and gathers their orders. Instances
// share nothing but the process.
package host

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"gingerfork/choice"
	"gingerfork/internal/bench/wire"
)

const lists = 16

// Host holds the living instances and the numbered lists.
type Host struct {
	insts map[string]*inst
	lists [lists][]choice.Endpoint
	known [lists]bool
}

type inst struct {
	planner *choice.Planner
	methods map[string]choice.MethodID
	events  []choice.Event
	failed  string
	queued  bool
}

// New makes an empty host.
func New() *Host { return &Host{insts: map[string]*inst{}} }

// Run answers each line of in with one line on out until in ends.
func Run(in io.Reader, out io.Writer) error {
	h, r, w := New(), bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		reply, err := h.Answer(line)
		if err == nil {
			_, err = w.Write(reply)
		}
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
	}
}

// Answer takes one batch and returns its reply.
func (h *Host) Answer(line []byte) ([]byte, error) {
	b, err := wire.Decode(line)
	if err != nil {
		return nil, err
	}
	var order []string
	for i, e := range b.Events {
		if err := h.deal(b.Now, e, &order); err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
	}
	replies := make([]wire.Reply, 0, len(order))
	for _, id := range order {
		if in := h.insts[id]; in != nil && in.queued {
			in.queued = false
			replies = append(replies, wire.Reply{Inst: id, Orders: in.step(b.Now)})
		}
	}
	return wire.Encode(replies)
}

// deal puts an event into its instance's queue. Lists are resolved here, in the order of events: their numbers are
// used again, even within a batch.
func (h *Host) deal(now choice.Seconds, e wire.Event, order *[]string) error {
	if c, ok := e.Body.(wire.Catalog); ok {
		if c.Number < 0 || c.Number >= lists {
			return fmt.Errorf("Catalog: field Table is out of range: %d", c.Number) //nolint:staticcheck // it begins with a name of the wire
		}
		h.lists[c.Number], h.known[c.Number] = c.Entries, true
		return nil
	}
	if start, ok := e.Body.(wire.Enlist); ok {
		in := &inst{methods: map[string]choice.MethodID{}}
		boot := choice.Config{Seed: start.Seed, Now: now, Settings: choice.DecodeSettings(start.Values)}
		for m, method := range boot.Settings.Methods {
			in.methods[method.Name] = choice.MethodID(m)
		}
		in.guard(func() { in.planner = choice.New(boot) })
		h.insts[e.Inst] = in
	}
	in := h.insts[e.Inst]
	if in == nil {
		return fmt.Errorf("field CoordinatorId names an unknown instance %q", e.Inst)
	}
	if !in.queued {
		in.queued = true
		*order = append(*order, e.Inst)
	}
	switch body := e.Body.(type) {
	case wire.Enlist:
	case wire.Detach:
		// What waited for a killed instance dies with it.
		delete(h.insts, e.Inst)
	case wire.Members:
		l := choice.EndpointUpdate{Kind: body.Kind, Version: body.Version}
		if body.Kind != choice.UpdateFailed {
			if body.Number < 0 || body.Number >= lists || !h.known[body.Number] {
				return fmt.Errorf("Members: field Table names an undefined list: %d", body.Number) //nolint:staticcheck // as above
			}
			l.Endpoints = h.lists[body.Number]
		}
		in.events = append(in.events, l)
	case wire.Usage:
		m, err := in.method("Traffic", body.Method)
		body.Sum.Method = m
		in.events = append(in.events, body.Sum)
		return err
	case wire.SliceUsage:
		m, err := in.method("RangeLoad", body.Method)
		body.Sum.Method = m
		in.events = append(in.events, body.Sum)
		return err
	default:
		in.events = append(in.events, body)
	}
	return nil
}

func (in *inst) method(event, name string) (choice.MethodID, error) {
	m, ok := in.methods[name]
	if !ok {
		return 0, fmt.Errorf("%s: field Category names an unknown method: %q", event, name)
	}
	return m, nil
}

func (in *inst) step(now choice.Seconds) (orders []choice.Command) {
	events := in.events
	in.events = nil
	in.guard(func() { orders = in.planner.Step(now, events) })
	if in.failed != "" {
		return []choice.Command{wire.Die{Text: in.failed}}
	}
	return orders
}

// guard turns a panic of the module into a report in place of a dead process.
func (in *inst) guard(f func()) {
	if in.failed != "" {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			in.failed = fmt.Sprintf("the decision module failed: %v", r)
		}
	}()
	f()
}
