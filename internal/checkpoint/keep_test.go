package checkpoint

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gingerfork/choice"
)

// Random news, pushes and answers; batches become durable late, and at a crash a prefix of those that were not. What is
// read then is the state after some batch that is no earlier than the last that was known durable; no mark is given twice;
// no answer to a push that follows a drain has counted whose drain is not known. Only a life in which nothing reached the
// disk before patience ran out may give marks that a later one gives again: that is the price that patience names.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := map[string][]byte{}
		now, given := 100.0, uint64(0)
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			kept, err := Read(maps.All(records))
			if err != nil {
				t.Fatal(err)
			}
			k := New(now, kept)
			began, before := now, given
			batches := [][]Put{}
			durable, version := 0, kept.Version
			type answer struct {
				needs uint64
				out   map[choice.BackendID]bool // by then
			}
			var answers []answer
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				now += rapid.Float64Range(0, 0.2).Draw(t, "time")
				switch rapid.SampledFrom([]string{"list", "mark", "proxy", "durable"}).Draw(t, "what") {
				case "list":
					version++
					ep := choice.BackendID(rapid.IntRange(1, 4).Draw(t, "ep"))
					if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
						k.Listed(now, version, nil, []choice.BackendID{ep})
					} else {
						k.Listed(now, version, []Server{{Entry: choice.Endpoint{Backend: ep, Kind: "a b", Zone: "z\"", Weight: 1.5, StartedAt: now,
							State: choice.BackendState(rapid.IntRange(0, 1).Draw(t, "state"))}, Stamp: version, Addr: "h:1"}}, nil)
					}
				case "mark":
					if !k.Open(now) {
						break
					}
					m := k.Mark()
					if m <= given {
						t.Fatalf("mark %d after %d", m, given)
					}
					given = m
					out := map[choice.BackendID]bool{}
					for _, ep := range k.Drained() {
						out[ep] = true
					}
					answers = append(answers, answer{k.Needs(), out})
				case "proxy":
					k.Sent("f", given)
					k.Confirmed("f", given)
				case "durable":
					if durable < len(batches) {
						durable += rapid.IntRange(1, len(batches)-durable).Draw(t, "batches")
						k.Durable(uint64(durable))
					}
				}
				if puts, n := k.Take(now); n > 0 {
					if batches = append(batches, puts); int(n) != len(batches) {
						t.Fatalf("batch %d is the %dth", n, len(batches))
					}
				}
			}
			left := rapid.IntRange(durable, len(batches)).Draw(t, "left")
			if left == 0 {
				if given != before && now < began+patience {
					t.Fatalf("marks up to %d were given after %v s, and nothing tells of them", given, now-began)
				}
				given = before
			}
			// Only what was durable is surely there; and only that was to be counted, but for patience.
			sure := maps.Clone(records)
			for i, puts := range batches[:left] {
				for _, p := range puts {
					if records[p.Key] = p.Value; p.Value == nil {
						delete(records, p.Key)
					}
				}
				if i < durable {
					sure = maps.Clone(records)
				}
			}
			then, err := Read(maps.All(sure))
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range answers {
				if !k.Counts(0, a.needs) {
					continue
				}
				for ep := range a.out {
					s, listed := then.Servers[ep]
					if _, known := then.Drains[ep]; !known && !(listed && s.Entry.State == choice.BackendOpen) {
						t.Fatalf("an answer counted that needs batch %d of %d, and the drain of %d is not known", a.needs, durable, ep)
					}
				}
			}
		}
	})
}

// What is kept is read as it was.
func TestRead(t *testing.T) {
	k := New(50, &Kept{})
	s := Server{Entry: choice.Endpoint{Backend: 3, Kind: "big one", Zone: "dc \"a\"", Weight: 0.1, StartedAt: 1234.5678901, Cell: 2, State: choice.BackendDraining}, Stamp: 1 << 63, Addr: "[::1]:80"}
	k.Listed(51.25, 9, []Server{s}, []choice.BackendID{4})
	k.Mark()
	k.Sent("f 0", 7)
	k.Confirmed("f 0", 5)
	k.Settings("a\nb")
	k.Take(51)
	records := map[string][]byte{}
	k = New(50, &Kept{})
	k.Listed(51.25, 9, []Server{s}, []choice.BackendID{4})
	k.Sent("f 0", 7)
	k.Confirmed("f 0", 5)
	k.Settings("a\nb")
	puts, _ := k.Take(52)
	for _, p := range puts {
		if p.Value != nil {
			records[p.Key] = p.Value
		}
	}
	got, err := Read(maps.All(records))
	want := &Kept{Held: true, Version: 9, Servers: map[choice.BackendID]Server{3: s}, Drains: map[choice.BackendID]Drain{3: {51.25, 1 << 63, false}, 4: {51.25, 0, true}},
		Proxies: map[string]Proxy{"f 0": {5, 7}}, Marks: 1 + marksAtOnce, Settings: "a\nb"}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	for key, value := range map[string]string{"server/x": "1", "marks": "many", "other": "", "drain/0000000001": "soon 1 true", "proxy/a": "1", "server/0000000001": "0"} {
		if _, err := Read(maps.All(map[string][]byte{key: []byte(value)})); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%q", key)) {
			t.Errorf("%s: %v", key, err)
		}
	}
	if _, err := Read(maps.All(map[string][]byte{"server/0000000003": s.encode()})); err == nil {
		t.Error("servers without a version were taken")
	}
	if k.Settings("a\nb") || !k.Settings("c") {
		t.Error("other settings were not told, or the same were")
	}
}

// A proxy that went while the coordinator was down is forgotten like one that left; one that came back is not.
func TestProxiesThatNeverCameBack(t *testing.T) {
	k := New(50, &Kept{Proxies: map[string]Proxy{"gone": {1, 1}, "back": {1, 1}}})
	k.Sent("back", k.Mark())
	k.Take(51)
	var removed []string
	for now := 52.0; now < 60+2*choice.BackendRetention; now += 100 {
		puts, _ := k.Take(now)
		for _, p := range puts {
			if p.Value == nil {
				removed = append(removed, p.Key)
			}
		}
	}
	if strings.Join(removed, " ") != "proxy/gone" {
		t.Errorf("removed %q", removed)
	}
}
