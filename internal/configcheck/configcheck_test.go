package configcheck

import (
	"strings"
	"testing"

	"gingerfork/choice"
)

// A pace gives a warning if the experiment docs/experiments/rejoin.plan violated rule 1 or came close to it at that pace. It
// gives none if the experiment stayed within half of bare-limit.
func TestWarnsOfSlowJoin(t *testing.T) {
	for pace, warned := range map[float64]bool{5000: true, 14100: true, 50000: false, 0: false} {
		settings := choice.DecodeSettings(map[string]any{
			"proxies": 5000.0, "coordinators": 2.0, "message_lines": 10.0, "bare_limit": 3.7, "channel_pace": pace,
		})
		got := Warnings(choice.Config{Settings: settings})
		if (len(got) > 0) != warned || warned && !strings.Contains(got[0], "2500 proxies") {
			t.Errorf("pace %g: got %q, want a warning: %v", pace, got, warned)
		}
	}
}
