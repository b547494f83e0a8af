package invariant

import (
	"errors"
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

// joinedProxy returns the trace of a proxy that is joined to a coordinator, with backends 1 and 2 listed and in its table,
// followed by more records.
func joinedProxy(more ...trace.Record) []trace.Record {
	return append([]trace.Record{
		{Time: 0, Kind: trace.CoordinatorStarted, Party: "c0"},
		{Time: 0, Kind: trace.EndpointsDelivered, Count: 1, Text: "full 1:o:0:a 2:o:0:a"},
		{Time: 0, Kind: trace.EndpointsDelivered, Coordinator: "c0", Count: 1, Text: "full 1:o:0:a 2:o:0:a"},
		{Time: 1, Kind: trace.ProxyJoined, Party: "f0", Coordinator: "c0", Zone: "a"},
		{Time: 1, Kind: trace.PushSent, Party: "f0", Coordinator: "c0", Nonce: 1, Value: 3},
		{Time: 1, Kind: trace.PushApplied, Party: "f0", Coordinator: "c0", Nonce: 1, Text: "bind 0 0 1:1 2:1"},
	}, more...)
}

func apply(t float64, text string) trace.Record {
	return trace.Record{Time: t, Kind: trace.PushApplied, Party: "f0", Coordinator: "c0", Text: text}
}

func endpointUpdate(t float64, text string) trace.Record {
	return trace.Record{Time: t, Kind: trace.EndpointsDelivered, Coordinator: "c0", Count: int64(t), Text: text}
}

func attempt(t float64, backend uint32, rpc uint64, method int, retryReason string) trace.Record {
	return trace.Record{Time: t, Kind: trace.AttemptSent, Party: "f0", Coordinator: "c0", Backend: backend, RPCID: rpc, Method: method, Text: retryReason}
}

func runEffect(t float64, backend uint32, rpc uint64, method int) trace.Record {
	return trace.Record{Time: t, Kind: trace.EffectExecuted, Backend: backend, RPCID: rpc, Method: method}
}

func linkChange(t float64, kind, party string) trace.Record {
	return trace.Record{Time: t, Kind: kind, Party: party, Coordinator: "c0"}
}

func endOfRun(t float64) trace.Record { return trace.Record{Time: t, Kind: trace.FaultInjected} }

func TestRulesAreChecked(t *testing.T) {
	for name, test := range map[string]struct {
		rule    int // the one that is violated; 0: none
		records []trace.Record
	}{
		"no violation":                             {0, joinedProxy(attempt(2, 1, 7, 1, ""), runEffect(2, 1, 7, 1), endOfRun(20))},
		"no backend beyond the limit":              {1, joinedProxy(apply(2, "clear 0"), endOfRun(5.2))},
		"no backend within the limit":              {0, joinedProxy(apply(2, "clear 0"), apply(4.9, "line 0 1:1"), endOfRun(20))},
		"all backends excluded":                    {1, joinedProxy(apply(2, "withdraw 1;withdraw 2"), endOfRun(5.2))},
		"only entries of weight zero":              {1, joinedProxy(apply(2, "line 0 1:0;line 0 2:0"), endOfRun(5.2))},
		"the only entry arrives excluded":          {1, joinedProxy(apply(2, "line 0 1:0;line 0 2:1!"), endOfRun(5.2))},
		"no backend, empty endpoint list":          {0, joinedProxy(endpointUpdate(2, "full "), apply(2, "clear 0"), endOfRun(20))},
		"no backend, all listed ones cold":         {0, joinedProxy(endpointUpdate(2, "full 1:o:2:a"), apply(2, "clear 0"), endOfRun(12))},
		"no backend, a listed one becomes warm":    {1, joinedProxy(endpointUpdate(2, "full 1:o:2:a"), apply(2, "clear 0"), endOfRun(15.5))},
		"no backend without a stream":              {0, joinedProxy(apply(2, "clear 0"), trace.Record{Time: 2, Kind: trace.ProxyLeft, Party: "f0", Coordinator: "c0"}, endOfRun(20))},
		"no backend during a partition":            {0, joinedProxy(linkChange(2, trace.LinkCut, "f0"), apply(2, "clear 0"), endOfRun(20))},
		"no backend after a rejoin":                {1, joinedProxy(apply(2, "clear 0"), trace.Record{Time: 2, Kind: trace.ProxyLeft, Party: "f0", Coordinator: "c0"}, trace.Record{Time: 9, Kind: trace.ProxyJoined, Party: "f0", Coordinator: "c0"}, endOfRun(12.1))},
		"retry after proof":                        {0, joinedProxy(attempt(2, 1, 7, 1, ""), attempt(3, 2, 7, 1, "after proof"), runEffect(3, 2, 7, 1))},
		"retry without proof":                      {2, joinedProxy(attempt(2, 1, 7, 1, ""), attempt(3, 2, 7, 1, "it may have run"))},
		"two effects":                              {2, joinedProxy(runEffect(2, 1, 7, 1), runEffect(3, 2, 7, 1))},
		"two effects of an idempotent RPC":         {0, joinedProxy(attempt(2, 1, 7, 0, ""), runEffect(2, 1, 7, 0), attempt(3, 2, 7, 0, "it may have run"), runEffect(3, 2, 7, 0))},
		"keyed retry within the window":            {0, joinedProxy(attempt(2, 1, 7, 2, ""), runEffect(2, 1, 7, 2), attempt(3, 2, 7, 2, "it may have run"))},
		"keyed retry after the window":             {2, joinedProxy(attempt(2, 1, 7, 2, ""), attempt(7.5, 2, 7, 2, "it may have run"))},
		"attempt within the drain grace":           {0, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), attempt(3.9, 1, 7, 0, ""))},
		"attempt after the drain grace":            {3, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), attempt(4.1, 1, 7, 0, ""))},
		"attempt to a removed backend":             {3, joinedProxy(endpointUpdate(2, "full 2:o:0:a"), attempt(4.1, 1, 7, 0, ""))},
		"draining, then removed":                   {3, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), endpointUpdate(3, "changes 1:g:0:a"), attempt(4.1, 1, 7, 0, ""))},
		"draining, then restarted":                 {0, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), endpointUpdate(3, "changes 1:o:3:a"), attempt(6, 1, 7, 0, ""))},
		"proxy joined after the drain":             {0, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), trace.Record{Time: 4, Kind: trace.ProxyJoined, Party: "f0", Coordinator: "c0"}, attempt(5.9, 1, 7, 0, ""))},
		"coordinator restarted after the drain":    {0, joinedProxy(endpointUpdate(2, "changes 1:d:0:a"), trace.Record{Time: 4, Kind: trace.CoordinatorStarted, Party: "c0"}, attempt(5.9, 1, 7, 0, ""))},
		"update during a pause of the coordinator": {0, joinedProxy(trace.Record{Time: 1.5, Kind: trace.ProcessPaused, Party: "c0", Value: 3}, endpointUpdate(2, "changes 1:d:0:a"), attempt(6.4, 1, 7, 0, ""))},
		"no action after the pause":                {3, joinedProxy(trace.Record{Time: 1.5, Kind: trace.ProcessPaused, Party: "c0", Value: 3}, endpointUpdate(2, "changes 1:d:0:a"), attempt(6.6, 1, 7, 0, ""))},
		"update delivered after a short partition": {3, joinedProxy(linkChange(2, trace.LinkCut, "list"), endpointUpdate(2.1, "changes 1:d:0:a"), linkChange(4, trace.LinkRestored, "list"), attempt(6.1, 1, 7, 0, ""))},
		"update held back by a partition":          {0, joinedProxy(linkChange(2, trace.LinkCut, "list"), endpointUpdate(2.1, "changes 1:d:0:a"), attempt(9, 1, 7, 0, ""))},
		"list emptied during a long partition":     {0, joinedProxy(linkChange(2, trace.LinkCut, "list"), endpointUpdate(3, "full "), linkChange(6.5, trace.LinkRestored, "list"), apply(6.6, "withdraw 1;withdraw 2"), endOfRun(11))},
		"no poll after a partition": {3, joinedProxy(linkChange(2, trace.LinkCut, "list"), trace.Record{Time: 3, Kind: trace.EndpointsDelivered, Count: 2, Text: "changes 2:d:0:a"}, linkChange(12, trace.LinkRestored, "list"),
			attempt(23, 2, 7, 0, ""))},
		"collapse with knowledge of the start": {4, joinedProxy(trace.Record{Time: 2, Kind: trace.BackendStarted, Backend: 1, Value: 5}, endpointUpdate(2, "changes 1:o:2:a"), apply(3, "line 0 1:1"), attempt(5, 1, 7, 0, ""), attempt(5, 1, 8, 0, ""),
			attempt(5, 1, 9, 0, ""), trace.Record{Time: 5.1, Kind: trace.BackendCollapsed, Backend: 1})},
		"collapse before the start was known": {0, joinedProxy(trace.Record{Time: 2, Kind: trace.BackendStarted, Backend: 1, Value: 5}, attempt(3, 1, 7, 0, ""), attempt(3, 1, 8, 0, ""), trace.Record{Time: 3.1, Kind: trace.BackendCollapsed, Backend: 1})},
		"messages above the bound": {5, joinedProxy(trace.Record{Time: 2, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"}, trace.Record{Time: 3, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"},
			trace.Record{Time: 4, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"})},
		"messages at the bound": {0, joinedProxy(trace.Record{Time: 2, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"}, trace.Record{Time: 3, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"},
			trace.Record{Time: 11.5, Kind: trace.PushSent, Party: "f0", Coordinator: "c0"})},
		"queued entries above the bound": {5, joinedProxy(trace.Record{Time: 2, Kind: trace.PushSent, Party: "f0", Coordinator: "c0", Count: 101})},
	} {
		report, err := Check(test.records, limits)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, verdict := range report.Rules {
			if (verdict.Violations > 0) != (verdict.Rule == test.rule) {
				t.Errorf("%s: rule %d violated %d times: %s", name, verdict.Rule, verdict.Violations, verdict.Reason)
			}
			if verdict.Violations > 0 && (verdict.Record == 0 || verdict.Party == "" || verdict.Reason == "") {
				t.Errorf("%s: rule %d has no details: %+v", name, verdict.Rule, verdict)
			}
		}
	}
}

func TestServiceFigures(t *testing.T) {
	finished := func(rpc uint64, method int, outcome string, latency float64) trace.Record {
		return trace.Record{Time: 5, Kind: trace.RPCFinished, Party: "f0", RPCID: rpc, Method: method, Text: outcome, Value: latency}
	}
	report, err := Check(joinedProxy(attempt(2, 1, 1, 0, ""), attempt(2, 1, 2, 1, ""), attempt(2, 1, 9, 1, ""), finished(1, 0, "ok", 0.5), finished(2, 1, "ok", 1.5), finished(3, 1, "ok", 1),
		finished(4, 0, "pushed back", 0), finished(5, 0, "aborted", 2)), limits)
	if s := report.Service; err != nil || s.Offered != 7 || s.InTime != 3 || s.OK != 3 || s.Late != 1 || s.Rejected != 1 || s.Aborted != 1 || s.Unfinished != 1 || s.Share() != 3.0/7 {
		t.Fatalf("got service %+v and error %v", report.Service, err)
	}
}

func TestMalformedTracesAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		want    error
		records []trace.Record
	}{
		"time decreases":     {ErrTimeOrder, []trace.Record{endOfRun(5), endOfRun(4)}},
		"unknown kind":       {ErrUnknownKind, []trace.Record{{Time: 1, Kind: "x"}}},
		"malformed endpoint": {ErrBadEndpoint, []trace.Record{endpointUpdate(1, "full 1:o")}},
		"unknown operation":  {ErrBadOperation, []trace.Record{apply(1, "bend 0 1")}},
		"no number":          {ErrBadOperation, []trace.Record{apply(1, "bind x")}},
		"no methods":         {ErrBadOperation, []trace.Record{apply(1, "bind 0")}},
		"malformed methods":  {ErrBadOperation, []trace.Record{apply(1, "bind 0 x")}},
		"malformed weight":   {ErrBadOperation, []trace.Record{apply(1, "bind 0 0 1:x")}},
	} {
		if _, err := Check(test.records, limits); !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want %v", name, err, test.want)
		}
	}
}
