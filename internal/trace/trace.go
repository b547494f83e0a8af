// Package trace is the record of what passed between the parties of a run: one record a line, written by the stand-ins,
// read by the rule checker. It knows nothing of coordinators.
//
// A line is: time, kind, then fields as key=value, separated by blanks. Times are seconds. Names hold no blanks.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Kinds of records, with the fields that each uses.
const (
	CoordinatorStarted = "boot"    // Who: a coordinator's process was started
	ProcessKilled      = "kill"    // Who: a process ended outright (coordinator, proxy or server)
	ProxyJoined        = "join"    // Who: proxy, Of: coordinator: the proxy had its welcome; Zone
	ProxyLeft          = "leave"   // Who: proxy, Of: coordinator: the proxy saw its stream end
	PushSent           = "push"    // Who: proxy, Of: coordinator, Mark, N: lines waiting behind it, Text: operations
	PushApplied        = "apply"   // Who: proxy, Of: coordinator, Mark, Text: operations, as they took effect
	EndpointsDelivered = "list"    // Of: coordinator, N: version, Text: kind and entries, as delivered to it
	EndpointsRequested = "ask"     // Of: coordinator: it asked the list service for news or for the whole list
	AttemptSent        = "try"     // Who: proxy, Of: coordinator that it follows, EP, RPC, Method, N: which try, Text: why again
	EffectExecuted     = "run"     // EP, RPC, Method: a server began the RPC's effect; Text: token if it has one
	RPCFinished        = "end"     // Who: proxy, RPC, Method, Text: ok, pushed back or aborted, X: seconds since it was asked
	BackendStarted     = "start"   // EP: a server's process started cold; X: its full capacity, RPCs a second
	BackendCollapsed   = "fall"    // EP: it fell over while cold, Text: who brought the load
	BackendStopped     = "gone"    // EP: its process ended
	LinkCut            = "cut"     // Who: proxy or list service, Of: coordinator: nothing passes between them
	LinkRestored       = "heal"    // Who: proxy or list service, Of: coordinator: it does again
	ProcessPaused      = "stall"   // Who: a coordinator or proxy that does not run, X: for so many seconds
	FaultInjected      = "trouble" // Text: what the script did, X: for how many seconds
	ScheduleDelay      = "late"    // Who or EP: a party that emulates did something later than it was due, X: the most seconds in the last one
	BackendSampled     = "glance"  // EP: X: RPCs a second that it could do, N: waiting, Text: share of its cores that was busy
	LoadOffered        = "offer"   // EP, X: capacity at present, N: RPCs that came in the window (when near its bound)
)

// Record is one thing that passed.
type Record struct {
	Time        float64
	Kind        string
	Party       string
	Coordinator string
	Zone        string
	Backend     uint32
	RPCID       uint64
	Method      int
	Nonce       int
	Count       int64
	Value       float64
	Text        string
}

// Append writes the record's line, with its newline.
func (r Record) Append(b []byte) []byte {
	b = strconv.AppendFloat(b, r.Time, 'f', 6, 64)
	b = append(append(b, ' '), r.Kind...)
	word := func(key, v string) {
		if v != "" {
			b = append(append(append(append(b, ' '), key...), '='), v...)
		}
	}
	whole := func(key string, v int64) {
		if v != 0 {
			b = append(append(append(b, ' '), key...), '=')
			b = strconv.AppendInt(b, v, 10)
		}
	}
	word("who", r.Party)
	word("of", r.Coordinator)
	word("zone", r.Zone)
	whole("ep", int64(r.Backend))
	if r.RPCID != 0 {
		b = append(b, " rpc="...)
		b = strconv.AppendUint(b, r.RPCID, 10)
	}
	whole("method", int64(r.Method))
	whole("mark", int64(r.Nonce))
	whole("n", r.Count)
	if r.Value != 0 {
		b = append(b, " x="...)
		b = strconv.AppendFloat(b, r.Value, 'g', -1, 64)
	}
	if r.Text != "" {
		b = append(b, " text="...)
		b = strconv.AppendQuote(b, r.Text)
	}
	return append(b, '\n')
}

// Parse reads one line.
func Parse(line string) (r Record, err error) {
	at, rest, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
	if r.Time, err = strconv.ParseFloat(at, 64); err != nil {
		return r, fmt.Errorf("time %q: %w", at, err)
	}
	r.Kind, rest, _ = strings.Cut(rest, " ")
	for rest != "" {
		var key, v string
		if key, rest, _ = strings.Cut(rest, "="); key == "text" {
			if r.Text, err = strconv.Unquote(rest); err != nil {
				return r, fmt.Errorf("field text: %w", err)
			}
			return r, nil
		}
		v, rest, _ = strings.Cut(rest, " ")
		var n int64
		switch key {
		case "who":
			r.Party = v
		case "of":
			r.Coordinator = v
		case "zone":
			r.Zone = v
		case "ep":
			n, err = strconv.ParseInt(v, 10, 64)
			r.Backend = uint32(n)
		case "rpc":
			r.RPCID, err = strconv.ParseUint(v, 10, 64)
		case "method":
			r.Method, err = strconv.Atoi(v)
		case "mark":
			r.Nonce, err = strconv.Atoi(v)
		case "n":
			r.Count, err = strconv.ParseInt(v, 10, 64)
		case "x":
			r.Value, err = strconv.ParseFloat(v, 64)
		default:
			err = fmt.Errorf("unknown field %q", key)
		}
		if err != nil {
			return r, fmt.Errorf("field %s: %w", key, err)
		}
	}
	return r, nil
}

// Read reads a whole trace; an error names the line.
func Read(in io.Reader) (all []Record, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 1<<16), 1<<24)
	for n := 1; s.Scan(); n++ {
		r, err := Parse(s.Text())
		if err != nil {
			return all, fmt.Errorf("trace line %d: %w", n, err)
		}
		all = append(all, r)
	}
	return all, s.Err()
}
