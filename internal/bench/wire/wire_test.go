package wire

import (
	"maps"
	"testing"

	"gingerfork/choice"
)

// Each command is encoded to the same bytes as by the first version of the codec.
func TestEncodeCommands(t *testing.T) {
	for _, test := range []struct {
		command choice.Command
		want    string
	}{
		{
			choice.SetTableEntry{Table: 3, Backend: 7, Weight: .25},
			`{"SetWeight":{"Backend":7,"CoordinatorId":"coordinator/0","Heft":0.25,"RouteTable":3}}`,
		},
		{choice.ClearTable{Table: 3}, `{"Truncate":{"CoordinatorId":"coordinator/0","RouteTable":3}}`},
		{
			choice.BindTable{Proxy: 4, Table: 3, Methods: 6},
			`{"HandTable":{"CoordinatorId":"coordinator/0","Only":6,"RouteTable":3,"Sidecar":4}}`,
		},
		{choice.SetExclusion{Backend: 7, Excluded: true}, `{"Suspend":{"Backend":7,"CoordinatorId":"coordinator/0","Flag":true}}`},
		{
			choice.SetAdmission{Table: 3, Methods: 2, Level: .5, Retry: choice.RetryOnce},
			`{"GateClass":{"Allowance":0.5,"CoordinatorId":"coordinator/0","How":2,"Only":2,"RouteTable":3}}`,
		},
		{choice.SetNonce{Nonce: 9, All: true}, `{"Seal":{"CoordinatorId":"coordinator/0","Epoch":9,"Flag":true}}`},
		{choice.WatchEndpoints{On: true}, `{"Follow":{"CoordinatorId":"coordinator/0","Flag":true}}`},
		{choice.FetchEndpoints{}, `{"ListAll":{"CoordinatorId":"coordinator/0"}}`},
		{choice.ProbeBackend{Backend: 7}, `{"Sample":{"Backend":7,"CoordinatorId":"coordinator/0"}}`},
		{
			choice.SetTimer{Timer: 5, At: 1.0000001},
			`{"After":{"AlarmTimeMs":1000.001,"CoordinatorId":"coordinator/0","Token":5}}`,
		},
		{
			choice.SendToPeer{To: 1, Data: []byte{0, 255}},
			`{"Publish":{"Addressee":1,"CoordinatorId":"coordinator/0","Octets":"00ff"}}`,
		},
		{choice.LogMessage{Text: "a <b>"}, `{"Print":{"CoordinatorId":"coordinator/0","Msg":"a \u003cb\u003e"}}`},
		{InstanceFailed{Text: "why"}, `{"Die":{"CoordinatorId":"coordinator/0","Msg":"why"}}`},
	} {
		got, err := Encode([]Reply{{Coordinator: "coordinator/0", Commands: []choice.Command{test.command}}})
		if want := `{"orders":[` + test.want + "]}\n"; err != nil || string(got) != want {
			t.Errorf("%T: got %s %v, want %s", test.command, got, err, want)
		}
	}
	if got, err := Encode(nil); err != nil || string(got) != "{\"orders\":[]}\n" {
		t.Errorf("empty reply: got %s %v", got, err)
	}
}

// Settings of the simulator get their names and units in the flat form; unknown ones keep their paths as names.
func TestFlattenSettings(t *testing.T) {
	got := FlattenSettings(map[string]any{
		"Az": "a", "Zones": []any{"a", "b"}, "RoundMs": 4.0, "Odd": map[string]any{"XMs": []any{5.0}, "Y": true},
		"Profiles":   []any{map[string]any{"Name": "r", "Effect": "at_most_once", "AimMs": 250.0}},
		"FamilyInfo": map[string]any{"ClassOwnZone": []any{false, true}, "LevelKind": "rps"}, "Discovery": "on_request",
	})
	want := map[string]any{
		"FamilyInfo.ClassOwnZone.n": 2.0, "Odd.XMs.0": 5.0, "Odd.XMs.n": 1.0, "Odd.Y": true, "Zones.n": 2.0,
		"level_kind": "rate", "listing": "asked", "method.0.effect": "non-idempotent", "method.0.name": "r",
		"method.0.own_zone": false, "method.0.soft_deadline": .25, "method.1.own_zone": true, "method.n": 1.0,
		"tick": .004, "zone": "a", "zones.0": "a", "zones.1": "b",
	}
	if !maps.Equal(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

// The simulator has no command that notifies a single proxy of the exclusions, so NotifyExclusions is left out.
func TestEncodeLeavesOutNotifications(t *testing.T) {
	reply := Reply{Coordinator: "coordinator/0", Commands: []choice.Command{choice.NotifyExclusions{Proxy: 4}}}
	got, err := Encode([]Reply{reply})
	if err != nil || string(got) != `{"orders":[]}`+"\n" {
		t.Errorf("got %s, %v", got, err)
	}
}
