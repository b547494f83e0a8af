package fake

import (
	"fmt"
	"math"
	"testing"

	"gingerfork/internal/emulator"
	"gingerfork/internal/proto"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// fakeCoordinator welcomes proxies and pushes them one table.
type fakeCoordinator struct {
	ops              []proto.TableOp
	readers          map[statemachine.Conn]*proto.Reader
	acknowledgements int
	hellos           int
	silent           bool // after the push
}

func (c *fakeCoordinator) Step(_ statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	for _, input := range inputs {
		if input.Kind == statemachine.ConnOpened {
			c.readers[input.Conn] = &proto.Reader{}
		}
		reader := c.readers[input.Conn]
		if input.Kind != statemachine.ConnData || reader == nil {
			continue
		}
		reader.Feed(input.Data)
		for message, err := reader.Next(); message != nil && err == nil; message, err = reader.Next() {
			c.handle(input.Conn, message, out)
		}
	}
}

func (c *fakeCoordinator) handle(conn statemachine.Conn, message proto.Message, out *statemachine.Effects) {
	switch message.(type) {
	case proto.Hello:
		c.hellos++
		c.readers[conn].HandshakeDone()
		welcome := proto.Append(nil, proto.Welcome{Version: 1, Name: "c0", ReportPeriod: 1})
		out.Write(conn, proto.Append(welcome, proto.Push{Sequence: 1, HasNonce: true, Nonce: 7, Ops: c.ops}))
	case proto.Acknowledgement:
		c.acknowledgements++
	case proto.Reports:
		if !c.silent {
			out.Write(conn, proto.Append(nil, proto.ReportsReceived{}))
		}
	}
}

// runResult is what the trace of a run says.
type runResult struct {
	attempts map[uint32]int // by backend
	statuses map[string]int // RPCs by how they ended
	records  []trace.Record
}

func (r runResult) count(counted func(trace.Record) bool) int {
	count := 0
	for _, record := range r.records {
		if counted(record) {
			count++
		}
	}
	return count
}

func isRetry(record trace.Record) bool { return record.Kind == trace.AttemptSent && record.Count == 2 }

// run runs a front end under one coordinator with backends for a time.
func run(t *testing.T, span float64, config FrontEndConfig, coordinator *fakeCoordinator, backends ...emulator.Config) runResult {
	t.Helper()
	network := simnet.New(1, 1e6, 0.0003, 0.0006)
	result := runResult{attempts: map[uint32]int{}, statuses: map[string]int{}}
	network.Trace = func(record trace.Record) {
		result.records = append(result.records, record)
		switch record.Kind {
		case trace.AttemptSent:
			result.attempts[record.Backend]++
		case trace.RPCFinished:
			result.statuses[record.Text]++
		}
	}
	coordinator.readers = map[statemachine.Conn]*proto.Reader{}
	network.AddNode("c0", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return coordinator }, "c0")
	network.Start("c0")
	for _, backend := range backends {
		name := fmt.Sprint("s", backend.Backend)
		network.AddNode(name, "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return emulator.NewBackend(backend)
		}, name)
		network.Start(name)
	}
	config.Name, config.Zone, config.Coordinators = "f0", "a", []string{"c0"}
	config.ReportPeriod, config.ConnectTimeout, config.Seed = 1, 0.2, 3
	if config.Methods == nil {
		config.Methods = []MethodConfig{{Name: "m", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}}
	}
	network.AddNode("f0", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return NewFrontEnd(config) })
	network.Start("f0")
	network.RunUntil(1e6 + span)
	return result
}

// coordinatorWith pushes a table of backends 1, 2 and so on with these weights.
func coordinatorWith(admission *proto.Admission, weights ...float64) *fakeCoordinator {
	bind := proto.TableOp{Kind: proto.OpBind}
	for i, weight := range weights {
		bind.Entries = append(bind.Entries, proto.TableEntry{Backend: proto.BackendID(i + 1), Weight: weight, Addr: fmt.Sprint("s", i+1)})
	}
	if admission != nil {
		bind.Admissions = []proto.Admission{*admission}
	}
	return &fakeCoordinator{ops: []proto.TableOp{bind}}
}

// backendWith carries so many RPCs a second on so many cores.
func backendWith(id proto.BackendID, capacity float64, cores, queue int) emulator.Config {
	return emulator.Config{
		Backend: id, Cores: cores, Speed: 1, Work: []emulator.Work{{Mean: float64(cores) / capacity}}, QueueLimit: queue,
		Seed: uint64(id), CancelPolicy: emulator.DropQueued,
	}
}

func fastBackend(id proto.BackendID) emulator.Config {
	return backendWith(id, 5000, 50, 100)
}

// rejectingBackend rejects every RPC, which proves that it did not execute them.
func rejectingBackend(id proto.BackendID) emulator.Config {
	return backendWith(id, 1, 0, 0)
}

// hangingBackend takes RPCs and does not answer in time.
func hangingBackend(id proto.BackendID) emulator.Config {
	return backendWith(id, 0.001, 100000, 9)
}

func TestPoliciesFollowWeights(t *testing.T) {
	for policy, tolerance := range map[string]float64{"lottery": 0.03, "even": 0.002} {
		got := run(t, 40, FrontEndConfig{Rate: 100, Policy: policy}, coordinatorWith(nil, 1, 2, 5), fastBackend(1), fastBackend(2), fastBackend(3))
		total := float64(got.attempts[1] + got.attempts[2] + got.attempts[3])
		for i, want := range []float64{1.0 / 8, 2.0 / 8, 5.0 / 8} {
			if share := float64(got.attempts[uint32(i+1)]) / total; math.Abs(share-want) > tolerance {
				t.Errorf("%s: backend %d has %.3f of the attempts, want %.3f by weight", policy, i+1, share, want)
			}
		}
		if got.statuses["ok"] < 3000 || got.statuses["aborted"] > 0 {
			t.Error(policy, got.statuses)
		}
	}
	// Of two candidates the one with fewer attempts in flight is picked: a slow backend gets less than its weight.
	slow := backendWith(1, 30, 20, 100)
	got := run(t, 40, FrontEndConfig{Rate: 60, Policy: "pair"}, coordinatorWith(nil, 1, 1), slow, fastBackend(2))
	if share := float64(got.attempts[1]) / float64(got.attempts[1]+got.attempts[2]); share > 0.35 || share < 0.02 {
		t.Errorf("pair: the slow backend has %.2f of the attempts", share)
	}
}

func TestRetryPolicies(t *testing.T) {
	for name, test := range map[string]struct {
		first   emulator.Config
		policy  uint64
		retries bool
	}{
		"never, rejected":           {rejectingBackend(1), 0, false},
		"if rejected, rejected":     {rejectingBackend(1), 1, true},
		"if rejected, not answered": {hangingBackend(1), 1, false},
		"once, not answered":        {hangingBackend(1), 2, true},
	} {
		config := FrontEndConfig{Rate: 10, Policy: "lottery", AttemptTimeoutRatio: 0.8}
		got := run(t, 20, config, coordinatorWith(&proto.Admission{Level: 1, Retry: test.policy}, 1, 1), test.first, fastBackend(2))
		if got.count(func(record trace.Record) bool { return record.Kind == trace.AttemptSent && record.Count > 2 }) > 0 {
			t.Fatalf("%s: a third attempt", name)
		}
		retries := got.count(isRetry)
		failed := got.statuses["aborted"]+got.statuses["pushed back"] > 0
		if (retries > 0) != test.retries || test.retries == failed {
			t.Errorf("%s: %d retries, %v", name, retries, got.statuses)
		}
	}
}

func TestAdmissionLevels(t *testing.T) {
	got := run(t, 40, FrontEndConfig{Rate: 100, Policy: "even"}, coordinatorWith(&proto.Admission{Level: 0.25}, 1), fastBackend(1))
	admitted, rejected := got.statuses["ok"], got.statuses["pushed back"]
	if share := float64(admitted) / float64(admitted+rejected); math.Abs(share-0.25) > 0.03 {
		t.Errorf("an admission level of 0.25 admits %.3f", share)
	}
	config := FrontEndConfig{Rate: 100, Policy: "even", AdmissionIsRate: true}
	got = run(t, 40, config, coordinatorWith(&proto.Admission{Level: 20}, 1), fastBackend(1))
	if admitted := got.statuses["ok"]; admitted < 700 || admitted > 900 {
		t.Errorf("an admission level of 20 RPCs a second admits %d in 40 s", admitted)
	}
}

func TestFailingBackendIsAvoided(t *testing.T) {
	config := FrontEndConfig{Rate: 50, Policy: "lottery"}
	without := run(t, 30, config, coordinatorWith(nil, 1, 1), rejectingBackend(1), fastBackend(2)).attempts[1]
	config.FailureLimit, config.AvoidDuration = 3, 5
	with := run(t, 30, config, coordinatorWith(nil, 1, 1), rejectingBackend(1), fastBackend(2)).attempts[1]
	if with*5 > without || with < 6 {
		t.Errorf("%d attempts at a backend that rejects everything with a failure limit, %d without", with, without)
	}
}

func TestSilentCoordinatorIsLeft(t *testing.T) {
	coordinator := coordinatorWith(nil, 1)
	coordinator.silent = true
	run(t, 30, FrontEndConfig{Rate: 1, Policy: "even"}, coordinator, fastBackend(1))
	if coordinator.hellos < 4 || coordinator.acknowledgements != coordinator.hellos {
		t.Errorf("%d hellos and %d acknowledgements to a coordinator that falls silent", coordinator.hellos, coordinator.acknowledgements)
	}
}

// Clients retry failed RPCs; non-idempotent ones only if they were rejected, which proves that they were not executed.
func TestClientRetries(t *testing.T) {
	for name, test := range map[string]struct {
		repeatability Repeatability
		backend       emulator.Config
		retries       bool
	}{
		"idempotent, not answered":     {Idempotent, hangingBackend(1), true},
		"non-idempotent, not answered": {NonIdempotent, hangingBackend(1), false},
		"non-idempotent, rejected":     {NonIdempotent, rejectingBackend(1), true},
	} {
		methods := []MethodConfig{{Name: "m", Repeatability: test.repeatability, Criticality: 1, SoftDeadline: 0.3, Deadline: 0.5, Share: 1}}
		config := FrontEndConfig{Rate: 10, Policy: "even", Methods: methods, ClientRetryProbability: 1, ClientRetryBackoff: 0.1, ClientRetryLimit: 2}
		failures := func() float64 {
			got := run(t, 30, config, coordinatorWith(nil, 1), test.backend)
			return float64(got.statuses["aborted"] + got.statuses["pushed back"])
		}
		with := failures()
		config.ClientRetryProbability = 0
		without := failures()
		if ratio := with / without; test.retries && (ratio < 2.7 || ratio > 3.3) || !test.retries && (ratio < 0.8 || ratio > 1.25) {
			t.Errorf("%s: %.0f RPCs failed, %.0f without client retries", name, with, without)
		}
	}
}

func TestOverloadedColdBackendCollapses(t *testing.T) {
	for _, test := range []struct {
		rate      float64
		collapses bool
	}{{20, false}, {60, true}} {
		config := FrontEndConfig{Rate: test.rate, Policy: "even"}
		cold := backendWith(1, 60, 10, 200)
		cold.StartsCold, cold.ColdSpeed, cold.WarmupTime, cold.OverloadMultiple, cold.OverloadWindow = true, 0.25, 20, 2.5, 1
		got := run(t, 10, config, coordinatorWith(nil, 1), cold)
		collapses := got.count(func(record trace.Record) bool { return record.Kind == trace.BackendCollapsed })
		if (collapses == 1) != test.collapses || collapses > 1 || test.collapses && got.statuses["ok"] > 100 {
			t.Errorf("at %v RPCs a second, %d collapses, %v", test.rate, collapses, got.statuses)
		}
		warm := cold
		warm.StartsCold = false
		if got := run(t, 10, config, coordinatorWith(nil, 1), warm); got.statuses["aborted"] > 0 {
			t.Errorf("a warm backend collapsed at %v RPCs a second: %v", test.rate, got.statuses)
		}
	}
}

// RPCs with one idempotency key are executed once, whichever backends they reach.
func TestKeyStoreDropsRepeats(t *testing.T) {
	store := &emulator.IdempotencyKeyStore{Window: 5}
	slow := backendWith(1, 2, 50, 100)
	slow.IdempotencyKeys = store
	fast := fastBackend(2)
	fast.IdempotencyKeys = store
	methods := []MethodConfig{{Name: "save", Repeatability: IdempotentWithKey, Criticality: 1, SoftDeadline: 0.3, Deadline: 2, Share: 1}}
	config := FrontEndConfig{Rate: 20, Policy: "lottery", AttemptTimeoutRatio: 0.8, Methods: methods}
	got := run(t, 20, config, coordinatorWith(&proto.Admission{Level: 1, Retry: 2}, 1, 1), slow, fast)
	executions := map[uint64]int{}
	for _, record := range got.records {
		if record.Kind == trace.EffectExecuted {
			executions[record.RPCID]++
		}
	}
	for id, count := range executions {
		if count > 1 {
			t.Fatalf("RPC %d was executed %d times", id, count)
		}
	}
	if retries := got.count(isRetry); retries < 20 {
		t.Fatalf("only %d retries: too few to show anything", retries)
	}
}
