package platform

import (
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/platform/wire"
)

// The commands of one step make one push, which has only the last change of each entry. Equal admission levels are merged, the
// parts of a table for some of the methods name these, and an entry of a backend that other coordinators may have excluded
// also restores the backend.
func TestPushParts(t *testing.T) {
	machine, err := New(Bootstrap{
		Discovery: "d", Module: choice.Config{Now: 1, Settings: choice.DecodeSettings(testSettings(2, 1))},
		CachedList: []byte(`{"seq":3,"whole":true,"hosts":[
			{"host":"s-1","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0},
			{"host":"s-2","dial":"x","site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":0}]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	one, two := machine.endpoints.ids["s-1"], machine.endpoints.ids["s-2"]
	receiver := &stream{proxy: 1, subscriber: machine.distributor.Join(1), sentExclusions: map[choice.BackendID]bool{}}
	for _, command := range []choice.Command{
		choice.SetTableEntry{Table: 2, Backend: one, Weight: 1.5},
		choice.SetTableEntry{Table: 2, Backend: two, Weight: 1},
		choice.SetExclusion{Backend: two, Excluded: true},
		choice.SetAdmission{Table: 2, Methods: 1, Level: 1, Retry: 1},
		choice.SetAdmission{Table: 2, Methods: 2, Level: 1, Retry: 1},
		choice.SetTableEntry{Table: 3, Backend: one, Weight: 2},
		choice.BindTable{Proxy: 1, Table: 2, Methods: 3},
		choice.BindTable{Proxy: 1, Table: 3, Methods: 2},
		choice.SetTableEntry{Table: 3, Backend: one, Weight: 4},
	} {
		if !machine.distributor.Apply(command) {
			t.Fatalf("the distributor does not execute command %T", command)
		}
	}
	nonce := choice.Nonce(9)
	messages, _ := machine.distributor.Flush(nil)
	got := string(wire.AppendPush(nil, machine.pushParts(receiver, messages[0].Ops, &nonce)))
	first, second := "s-1:1.5", "s-2:1"
	if two < one {
		first, second = second, first
	}
	want := "assign whole=1 lines=" + first + "," + second + " level=1 retry=1 more=1\r\nassign classes=submit whole=1 lines=s-1:4"
	if !strings.HasPrefix(got, want) || !strings.Contains(got, " out=s-2 back=s-1 ticket=9\r\n") || len(messages) != 1 {
		t.Errorf("the step makes %d messages, want 1; the push is %q", len(messages), got)
	}
	machine.distributor.Apply(choice.ClearTable{Table: 3})
	machine.distributor.Apply(choice.SetExclusion{Backend: two})
	messages, _ = machine.distributor.Flush(nil)
	if got := string(wire.AppendPush(nil, machine.pushParts(receiver, messages[0].Ops, nil))); got != "assign classes=submit whole=1 back=s-2\r\n" {
		t.Errorf("the second push is %q", got)
	}
}
