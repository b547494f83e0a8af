package checkpoint

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/choice"
)

// TestDecode checks that decoding yields the state that was persisted.
func TestDecode(t *testing.T) {
	endpoint := Endpoint{
		Entry: choice.Endpoint{
			Backend: 3, Kind: "big one", Zone: "dc \"a\"", Weight: 0.1, StartedAt: 1234.5678901, Cell: 2,
			State: choice.BackendDraining,
		},
		Incarnation: 1 << 63,
		Addr:        "[::1]:80",
	}
	checkpointer := New(50, &State{})
	checkpointer.UpdateEndpoints(51.25, 9, []Endpoint{endpoint}, []choice.BackendID{4})
	checkpointer.PushSent("f 0", 7)
	checkpointer.PushAcknowledged("f 0", 5)
	checkpointer.UpdateSettings("a\nb")
	mutations, _ := checkpointer.TakeBatch(52)
	records := map[string][]byte{}
	apply(records, mutations)

	got, err := Decode(maps.All(records))
	want := &State{
		HasEndpointList: true,
		ListVersion:     9,
		Endpoints:       map[choice.BackendID]Endpoint{3: endpoint},
		Drains: map[choice.BackendID]Drain{
			3: {RecordedAt: 51.25, Incarnation: 1 << 63},
			4: {RecordedAt: 51.25, Removed: true},
		},
		Proxies:    map[string]Proxy{"f 0": {Acknowledged: 5, InFlight: 7}},
		NonceLimit: 1 + nonceReservationSize,
		Settings:   "a\nb",
	}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatalf("decoding failed with error %v, or the decoded state differs from the persisted one (-want +got): %s", err, diff)
	}
	if checkpointer.UpdateSettings("a\nb") || !checkpointer.UpdateSettings("c") {
		t.Error("changed settings were not reported as changed, or unchanged ones were")
	}
}

// TestRecordFormats checks the exact keys and values, since stores that earlier versions wrote must stay readable.
func TestRecordFormats(t *testing.T) {
	checkpointer := New(50, &State{NonceLimit: 1})
	entry := choice.Endpoint{
		Backend: 3, Kind: "big one", Zone: "dc \"a\"", Weight: 0.1, StartedAt: 1234.5, Cell: 2, State: choice.BackendDraining,
	}
	endpoint := Endpoint{Entry: entry, Incarnation: 8, Addr: "[::1]:80"}
	checkpointer.UpdateEndpoints(51.25, 9, []Endpoint{endpoint}, []choice.BackendID{4})
	checkpointer.PushSent("f 0", 7)
	checkpointer.PushAcknowledged("f 0", 5)
	checkpointer.UpdateSettings("a\nb")
	mutations, _ := checkpointer.TakeBatch(52)
	got := make([]string, 0, len(mutations))
	for _, mutation := range mutations {
		got = append(got, fmt.Sprintf("%s: %s", mutation.Key, mutation.Value))
	}
	want := []string{
		"marks: 1048577",
		"list: 9",
		fmt.Sprintf("server/0000000003: %d \"big one\" \"dc \\\"a\\\"\" 2 0.1 1234.5 8 \"[::1]:80\"", choice.BackendDraining),
		"drain/0000000003: 51.25 8 false",
		"server/0000000004: ",
		"drain/0000000004: 51.25 0 true",
		"settings: a\nb",
		"proxy/f 0: 5 7",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the records differ from the stored format (-want +got): %s", diff)
	}
}

// TestDecodeErrors checks that a record that cannot be decoded is an error that names its key.
func TestDecodeErrors(t *testing.T) {
	for key, value := range map[string]string{
		"server/x":          "1",
		"marks":             "many",
		"other":             "",
		"drain/0000000001":  "soon 1 true",
		"proxy/a":           "1",
		"server/0000000001": "0",
	} {
		t.Run(key, func(t *testing.T) {
			_, err := Decode(maps.All(map[string][]byte{key: []byte(value)}))
			if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%q", key)) {
				t.Errorf("got error %v, want one that names the key", err)
			}
			if unknown := key == "other"; errors.Is(err, ErrUnknownRecord) != unknown {
				t.Errorf("got error %v, want ErrUnknownRecord: %v", err, unknown)
			}
		})
	}
	endpoint := Endpoint{Entry: choice.Endpoint{Backend: 3}}
	_, err := Decode(maps.All(map[string][]byte{"server/0000000003": endpoint.encode()}))
	if !errors.Is(err, ErrMissingListVersion) {
		t.Errorf("endpoints without a version: got error %v, want %v", err, ErrMissingListVersion)
	}
}
