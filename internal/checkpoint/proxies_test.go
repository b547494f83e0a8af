package checkpoint

import (
	"strings"
	"testing"

	"gingerfork/choice"
)

// TestUnseenProxiesAreRemoved checks that the record of a proxy that left while the coordinator was down is removed, and
// that the record of a proxy that came back is kept.
func TestUnseenProxiesAreRemoved(t *testing.T) {
	recovered := map[string]Proxy{
		"gone": {Acknowledged: 1, InFlight: 1},
		"back": {Acknowledged: 1, InFlight: 1},
	}
	checkpointer := New(50, &State{Proxies: recovered})
	checkpointer.PushSent("back", checkpointer.NextNonce())
	checkpointer.TakeBatch(51)
	var removed []string
	for now := 52.0; now < 60+2*choice.BackendRetention; now += 100 {
		mutations, _ := checkpointer.TakeBatch(now)
		for _, mutation := range mutations {
			if mutation.Value == nil {
				removed = append(removed, mutation.Key)
			}
		}
	}
	if strings.Join(removed, " ") != "proxy/gone" {
		t.Errorf("removed %q, want only proxy/gone", removed)
	}
}
