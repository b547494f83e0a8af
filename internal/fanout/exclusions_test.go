package fanout

import (
	"slices"
	"testing"

	"gingerfork/choice"
)

// excludedIn returns the backends that the messages of a step exclude at their proxies.
func excludedIn(messages []*Message) (backends []choice.BackendID) {
	for _, message := range messages {
		for _, operation := range message.Ops {
			if operation.Kind == OpExclude || operation.Kind == OpBind {
				backends = append(backends, operation.Backends...)
			}
		}
	}
	slices.Sort(backends)
	return backends
}

// A proxy that waits for its first table learns of the exclusions from that table or from NotifyExclusions, not one by one.
// Otherwise each exclusion would be sent to thousands of waiting proxies and use up the push rate. The proxy keeps using its
// earlier tables meanwhile, so once it was notified it is sent further exclusions.
func TestExclusionsOfWaitingProxies(t *testing.T) {
	distributor := New()
	distributor.Join(1)
	for _, step := range []struct {
		command choice.Command
		want    []choice.BackendID
	}{
		{choice.SetExclusion{Backend: 7, Excluded: true}, nil},
		{choice.NotifyExclusions{Proxy: 1}, []choice.BackendID{7}},
		{choice.NotifyExclusions{Proxy: 1}, nil},
		{choice.SetExclusion{Backend: 8, Excluded: true}, []choice.BackendID{8}},
		{choice.NotifyExclusions{Proxy: 2}, nil},
	} {
		if !distributor.Apply(step.command) {
			t.Fatalf("%+v is not applied", step.command)
		}
		messages, _ := distributor.Flush(nil)
		if got := excludedIn(messages); !slices.Equal(got, step.want) {
			t.Errorf("%+v excludes %v at the proxy, want %v", step.command, got, step.want)
		}
	}
}

// The first table of a proxy contains the exclusions of its own backends and no others.
func TestFirstTableCarriesExclusions(t *testing.T) {
	distributor := New()
	distributor.Join(1)
	for _, command := range []choice.Command{
		choice.SetExclusion{Backend: 7, Excluded: true},
		choice.SetExclusion{Backend: 9, Excluded: true},
		choice.SetTableEntry{Table: 3, Backend: 7, Weight: 1},
		choice.SetTableEntry{Table: 3, Backend: 8, Weight: 1},
		choice.BindTable{Proxy: 1, Table: 3},
	} {
		distributor.Apply(command)
	}
	messages, _ := distributor.Flush(nil)
	if got := excludedIn(messages); !slices.Equal(got, []choice.BackendID{7}) {
		t.Errorf("the first table excludes %v, want only backend 7", got)
	}
}

// A change of a table without a subscriber reaches no proxy and is counted, unless the table is bound or cleared afterwards.
func TestUndeliveredChangesAreCounted(t *testing.T) {
	distributor := New()
	distributor.Join(1)
	for _, step := range []struct {
		name     string
		commands []choice.Command
		want     int
	}{
		{"a binding follows", []choice.Command{
			choice.SetTableEntry{Table: 2, Backend: 7, Weight: 1}, choice.BindTable{Proxy: 1, Table: 2},
		}, 0},
		{"bound earlier", []choice.Command{choice.SetTableEntry{Table: 2, Backend: 8, Weight: 1}}, 0},
		{"cleared", []choice.Command{choice.SetTableEntry{Table: 3, Backend: 8, Weight: 1}, choice.ClearTable{Table: 3}}, 0},
		{"never bound", []choice.Command{
			choice.SetTableEntry{Table: 3, Backend: 8, Weight: 1}, choice.SetAdmission{Table: 5, Methods: 1, Level: 1},
		}, 2},
		{"nothing changed since", nil, 0},
	} {
		for _, command := range step.commands {
			distributor.Apply(command)
		}
		if got := distributor.TakeUndelivered(); got != step.want {
			t.Errorf("%s: %d undelivered tables, want %d", step.name, got, step.want)
		}
	}
}

// A proxy that was told of the exclusions from before a restart is restored the backends that its first table has as usable.
// Otherwise the table excluded all that it contains: the exclusions were an earlier instance's, and the module, which never
// excluded these backends itself, would not restore them. Guards against the relative of review case 7 that scenario seed 1349 found.
func TestFirstTableEndsFormerExclusions(t *testing.T) {
	distributor := New()
	distributor.AllMethods = 3
	distributor.Join(1)
	distributor.Apply(choice.NotifyExclusions{Proxy: 1})
	distributor.Flush(func() []choice.BackendID { return []choice.BackendID{7, 8, 9} })
	distributor.Apply(choice.SetTableEntry{Table: 3, Backend: 7, Weight: 1})
	distributor.Apply(choice.BindTable{Proxy: 1, Table: 3, Methods: 1})
	messages, _ := distributor.Flush(nil)
	if got, want := excludedIn(messages), []choice.BackendID{8, 9}; !slices.Equal(got, want) {
		t.Errorf("the first table excludes %v, want %v", got, want)
	}
	distributor.Apply(choice.SetTableEntry{Table: 3, Backend: 8, Weight: 1})
	distributor.Apply(choice.BindTable{Proxy: 1, Table: 4, Methods: 2})
	messages, _ = distributor.Flush(nil)
	if got, want := excludedIn(messages), []choice.BackendID{9}; !slices.Equal(got, want) {
		t.Errorf("the second table excludes %v, want %v", got, want)
	}
}
