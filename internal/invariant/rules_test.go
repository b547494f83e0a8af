package invariant

import (
	"testing"

	"gingerfork/internal/trace"
)

var limits = Limits{
	NoBackendLimit: 3, DrainGrace: 2, WarmAfter: 10, CollapseWindow: 1, MaxQueuedEntries: 100, MaxMessages: 3, MessageWindow: 10, EndpointStreamTimeout: 5, PollInterval: 10,
	Methods: []Method{
		{Name: "read", Criticality: 1, SoftDeadline: 1},
		{Name: "submit", NonIdempotent: true, Criticality: 2, SoftDeadline: 1},
		{Name: "save", HasIdempotencyKey: true, DedupWindow: 5, Criticality: 1, SoftDeadline: 1},
	},
}

// begin is a proxy that follows a coordinator with servers 1 and 2 listed and bound.
func begin(more ...trace.Record) []trace.Record {
	return append([]trace.Record{
		{T: 0, Kind: trace.Boot, Who: "c0"},
		{T: 0, Kind: trace.List, N: 1, Text: "full 1:o:0:a 2:o:0:a"},
		{T: 0, Kind: trace.List, Of: "c0", N: 1, Text: "full 1:o:0:a 2:o:0:a"},
		{T: 1, Kind: trace.Join, Who: "f0", Of: "c0", Zone: "a"},
		{T: 1, Kind: trace.Push, Who: "f0", Of: "c0", Mark: 1, X: 3},
		{T: 1, Kind: trace.Apply, Who: "f0", Of: "c0", Mark: 1, Text: "bind 0 0 1:1 2:1"},
	}, more...)
}

func apply(t float64, text string) trace.Record {
	return trace.Record{T: t, Kind: trace.Apply, Who: "f0", Of: "c0", Text: text}
}

func news(t float64, text string) trace.Record {
	return trace.Record{T: t, Kind: trace.List, Of: "c0", N: int64(t), Text: text}
}

func send(t float64, ep uint32, rpc uint64, method int, why string) trace.Record {
	return trace.Record{T: t, Kind: trace.Try, Who: "f0", Of: "c0", EP: ep, RPC: rpc, Method: method, Text: why}
}

func runs(t float64, ep uint32, rpc uint64, method int) trace.Record {
	return trace.Record{T: t, Kind: trace.Run, EP: ep, RPC: rpc, Method: method}
}

func link(t float64, kind, who string) trace.Record {
	return trace.Record{T: t, Kind: kind, Who: who, Of: "c0"}
}
func end(t float64) trace.Record { return trace.Record{T: t, Kind: trace.Trouble} }

func TestEachRule(t *testing.T) {
	for name, c := range map[string]struct {
		rule    int // that breaks; 0: none
		records []trace.Record
	}{
		"all is well":                 {0, begin(send(2, 1, 7, 1, ""), runs(2, 1, 7, 1), end(20))},
		"bare for long":               {1, begin(apply(2, "clear 0"), end(5.2))},
		"bare for less":               {0, begin(apply(2, "clear 0"), apply(4.9, "line 0 1:1"), end(20))},
		"all lines withdrawn":         {1, begin(apply(2, "withdraw 1;withdraw 2"), end(5.2))},
		"a line weighs nothing":       {1, begin(apply(2, "line 0 1:0;line 0 2:0"), end(5.2))},
		"a line comes withdrawn":      {1, begin(apply(2, "line 0 1:0;line 0 2:1!"), end(5.2))},
		"bare, nothing is listed":     {0, begin(news(2, "full "), apply(2, "clear 0"), end(20))},
		"bare, all listed cold":       {0, begin(news(2, "full 1:o:2:a"), apply(2, "clear 0"), end(12))},
		"bare, a listed one warms up": {1, begin(news(2, "full 1:o:2:a"), apply(2, "clear 0"), end(15.5))},
		"bare without a stream":       {0, begin(apply(2, "clear 0"), trace.Record{T: 2, Kind: trace.Leave, Who: "f0", Of: "c0"}, end(20))},
		"bare while cut off":          {0, begin(link(2, trace.Cut, "f0"), apply(2, "clear 0"), end(20))},
		"bare, then it rejoins":       {1, begin(apply(2, "clear 0"), trace.Record{T: 2, Kind: trace.Leave, Who: "f0", Of: "c0"}, trace.Record{T: 9, Kind: trace.Join, Who: "f0", Of: "c0"}, end(12.1))},
		"repeated with proof":         {0, begin(send(2, 1, 7, 1, ""), send(3, 2, 7, 1, "after proof"), runs(3, 2, 7, 1))},
		"repeated without":            {2, begin(send(2, 1, 7, 1, ""), send(3, 2, 7, 1, "it may have run"))},
		"two effects":                 {2, begin(runs(2, 1, 7, 1), runs(3, 2, 7, 1))},
		"an idempotent one twice":     {0, begin(send(2, 1, 7, 0, ""), runs(2, 1, 7, 0), send(3, 2, 7, 0, "it may have run"), runs(3, 2, 7, 0))},
		"a token in its window":       {0, begin(send(2, 1, 7, 2, ""), runs(2, 1, 7, 2), send(3, 2, 7, 2, "it may have run"))},
		"a token too late":            {2, begin(send(2, 1, 7, 2, ""), send(7.5, 2, 7, 2, "it may have run"))},
		"within the grace":            {0, begin(news(2, "changes 1:d:0:a"), send(3.9, 1, 7, 0, ""))},
		"past the grace":              {3, begin(news(2, "changes 1:d:0:a"), send(4.1, 1, 7, 0, ""))},
		"to one that is gone":         {3, begin(news(2, "full 2:o:0:a"), send(4.1, 1, 7, 0, ""))},
		"drains, then goes":           {3, begin(news(2, "changes 1:d:0:a"), news(3, "changes 1:g:0:a"), send(4.1, 1, 7, 0, ""))},
		"it came back":                {0, begin(news(2, "changes 1:d:0:a"), news(3, "changes 1:o:3:a"), send(6, 1, 7, 0, ""))},
		"joined after":                {0, begin(news(2, "changes 1:d:0:a"), trace.Record{T: 4, Kind: trace.Join, Who: "f0", Of: "c0"}, send(5.9, 1, 7, 0, ""))},
		"a restart knows anew":        {0, begin(news(2, "changes 1:d:0:a"), trace.Record{T: 4, Kind: trace.Boot, Who: "c0"}, send(5.9, 1, 7, 0, ""))},
		"the coordinator stood":       {0, begin(trace.Record{T: 1.5, Kind: trace.Stall, Who: "c0", X: 3}, news(2, "changes 1:d:0:a"), send(6.4, 1, 7, 0, ""))},
		"and then did not act":        {3, begin(trace.Record{T: 1.5, Kind: trace.Stall, Who: "c0", X: 3}, news(2, "changes 1:d:0:a"), send(6.6, 1, 7, 0, ""))},
		"told after a short cut":      {3, begin(link(2, trace.Cut, "list"), news(2.1, "changes 1:d:0:a"), link(4, trace.Heal, "list"), send(6.1, 1, 7, 0, ""))},
		"not told in a cut":           {0, begin(link(2, trace.Cut, "list"), news(2.1, "changes 1:d:0:a"), send(9, 1, 7, 0, ""))},
		"emptied in a long cut":       {0, begin(link(2, trace.Cut, "list"), news(3, "full "), link(6.5, trace.Heal, "list"), apply(6.6, "withdraw 1;withdraw 2"), end(11))},
		"never asks after a cut": {3, begin(link(2, trace.Cut, "list"), trace.Record{T: 3, Kind: trace.List, N: 2, Text: "changes 2:d:0:a"}, link(12, trace.Heal, "list"),
			send(23, 2, 7, 0, ""))},
		"fell, knowingly": {4, begin(trace.Record{T: 2, Kind: trace.Start, EP: 1, X: 5}, news(2, "changes 1:o:2:a"), apply(3, "line 0 1:1"), send(5, 1, 7, 0, ""), send(5, 1, 8, 0, ""),
			send(5, 1, 9, 0, ""), trace.Record{T: 5.1, Kind: trace.Fall, EP: 1})},
		"fell before anyone knew": {0, begin(trace.Record{T: 2, Kind: trace.Start, EP: 1, X: 5}, send(3, 1, 7, 0, ""), send(3, 1, 8, 0, ""), trace.Record{T: 3.1, Kind: trace.Fall, EP: 1})},
		"too many messages": {5, begin(trace.Record{T: 2, Kind: trace.Push, Who: "f0", Of: "c0"}, trace.Record{T: 3, Kind: trace.Push, Who: "f0", Of: "c0"},
			trace.Record{T: 4, Kind: trace.Push, Who: "f0", Of: "c0"})},
		"as many as may be": {0, begin(trace.Record{T: 2, Kind: trace.Push, Who: "f0", Of: "c0"}, trace.Record{T: 3, Kind: trace.Push, Who: "f0", Of: "c0"},
			trace.Record{T: 11.5, Kind: trace.Push, Who: "f0", Of: "c0"})},
		"too many lines wait": {5, begin(trace.Record{T: 2, Kind: trace.Push, Who: "f0", Of: "c0", N: 101})},
	} {
		r, err := Check(c.records, limits)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, v := range r.Rules {
			if (v.Violations > 0) != (v.Rule == c.rule) {
				t.Errorf("%s: rule %d broke %d times: %s", name, v.Rule, v.Violations, v.Reason)
			}
			if v.Violations > 0 && (v.Record == 0 || v.Party == "" || v.Reason == "") {
				t.Errorf("%s: rule %d does not say where: %+v", name, v.Rule, v)
			}
		}
	}
}

func TestServiceIsCounted(t *testing.T) {
	done := func(rpc uint64, method int, text string, x float64) trace.Record {
		return trace.Record{T: 5, Kind: trace.End, Who: "f0", RPC: rpc, Method: method, Text: text, X: x}
	}
	r, err := Check(begin(send(2, 1, 1, 0, ""), send(2, 1, 2, 1, ""), send(2, 1, 9, 1, ""), done(1, 0, "ok", 0.5), done(2, 1, "ok", 1.5), done(3, 1, "ok", 1),
		done(4, 0, "pushed back", 0), done(5, 0, "aborted", 2)), limits)
	if s := r.Service; err != nil || s.Offered != 7 || s.InTime != 3 || s.OK != 3 || s.Late != 1 || s.Rejected != 1 || s.Aborted != 1 || s.Unfinished != 1 || s.Share() != 3.0/7 {
		t.Fatalf("%+v %v", r.Service, err)
	}
}

func TestBadTracesAreRefused(t *testing.T) {
	for name, r := range map[string][]trace.Record{
		"time runs back": {end(5), end(4)}, "unknown kind": {{T: 1, Kind: "x"}}, "odd entry": {news(1, "full 1:o")}, "odd operation": {apply(1, "bend 0 1")},
		"no number": {apply(1, "bind x")}, "odd line": {apply(1, "bind 0 0 1:x")},
	} {
		if _, err := Check(r, limits); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
