package scenario

import (
	"slices"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// tamperingCoordinator is a coordinator whose pushes are changed before they are sent.
type tamperingCoordinator struct {
	inner     statemachine.Machine
	tamper    func(p *proto.Push) (extraPushes int) // so many empty ones follow it
	sequences map[statemachine.Conn]uint64
}

func (s *tamperingCoordinator) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	s.inner.Step(now, in, out)
	var actions []statemachine.Action
	for _, action := range out.Actions {
		var r proto.Reader
		r.HandshakeDone()
		r.Feed(action.Data)
		message, _ := r.Next()
		push, ok := message.(proto.Push)
		if action.Kind != statemachine.ActionWrite || !ok {
			actions = append(actions, action)
			continue
		}
		extra := s.tamper(&push)
		for i := range extra + 1 {
			s.sequences[action.Conn]++
			if push.Sequence = s.sequences[action.Conn]; i > 0 {
				push.Ops, push.HasNonce = nil, false
			}
			actions = append(actions, statemachine.Action{Kind: statemachine.ActionWrite, Conn: action.Conn, Data: proto.Append(nil, push)})
		}
	}
	out.Actions = actions
}

const tamperScript = `
day tampering
settings perth.conf
length 40s
seed 5
servers 5 zone dc-kewdale capacity 30
servers 4 zone dc-malaga capacity 30
frontends 3 zone dc-kewdale rate 13
frontends 3 zone dc-malaga rate 12
mix 70% 30%
at 4s deploy servers 60% drain 3s down 1s every 2s
at 6s slow servers all by 6 for 6s
`

// clearTables replaces each table entry by the removal of all.
func clearTables(push *proto.Push) int {
	for i, operation := range push.Ops {
		if operation.Kind == proto.OpSetEntry {
			push.Ops[i] = proto.TableOp{Kind: proto.OpClear, Table: operation.Table}
		}
	}
	return 0
}

// allowTwoTries permits a second attempt for each method.
func allowTwoTries(push *proto.Push) int {
	for _, operation := range push.Ops {
		for i := range operation.Admissions {
			operation.Admissions[i].Retry = 2
		}
	}
	return 0
}

// dropExclusions removes all operations that take a backend out of use.
func dropExclusions(push *proto.Push) int {
	push.Ops = slices.DeleteFunc(push.Ops, func(operation proto.TableOp) bool {
		return operation.Kind == proto.OpExclude ||
			operation.Kind == proto.OpSetEntry && (operation.Entries[0].Weight == 0 || operation.Entries[0].Excluded)
	})
	return 0
}

// Each fault of a coordinator is detected by the rule that it violates; without a fault none is.
func TestTamperedPushesAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		rule   int
		tamper func(push *proto.Push) (extraPushes int)
	}{
		"unchanged":                          {0, func(*proto.Push) int { return 0 }},
		"table cleared":                      {1, clearTables},
		"retries of a non-idempotent method": {2, allowTwoTries},
		"exclusions dropped":                 {3, dropExclusions},
		"burst of pushes":                    {5, func(*proto.Push) int { return 35 }},
	} {
		result, err := PlayVirtual(readScript(t, tamperScript), Options{WrapCoordinator: func(_ string, m statemachine.Machine) statemachine.Machine {
			return &tamperingCoordinator{m, test.tamper, map[statemachine.Conn]uint64{}}
		}})
		if err != nil {
			t.Fatal(name, err)
		}
		for _, verdict := range result.Report.Rules {
			if (verdict.Violations > 0) != (verdict.Rule == test.rule) {
				t.Errorf("%s: rule %d violated %d times: %s", name, verdict.Rule, verdict.Violations, verdict.Reason)
			}
			if verdict.Rule == test.rule && (verdict.Record < 1 || verdict.Party == "" || result.Records[verdict.Record-1].Time != verdict.FirstTime) {
				t.Errorf("%s: rule %d has no details: %+v", name, verdict.Rule, verdict)
			}
		}
	}
}

// A coordinator that takes cold backends for warm violates rule 4, and no other.
func TestColdBackendTreatedAsWarmIsDetected(t *testing.T) {
	for cold, values := range map[bool]map[string]any{false: nil, true: {"warm_after": 0.001}} {
		result, err := PlayVirtual(readScript(t, `
settings perth.conf
length 20s
seed 5
servers 4 zone dc-kewdale capacity 30
servers 3 zone dc-malaga capacity 30
frontends 3 zone dc-kewdale rate 26
frontends 3 zone dc-malaga rate 26
mix 70% 30%
at 5s deploy servers 4 drain 1s down 1s every 300ms
`), Options{Overrides: values})
		if err != nil {
			t.Fatal(err)
		}
		for _, verdict := range result.Report.Rules {
			if (verdict.Violations > 0) != (cold && verdict.Rule == 4) {
				t.Errorf("cold servers taken for warm: %v, rule %d violated %d times: %s", cold, verdict.Rule, verdict.Violations, verdict.Reason)
			}
		}
	}
}
