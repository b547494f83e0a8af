package configcheck

import (
	"strings"
	"testing"

	"gingerfork/choice"
)

// Paces at which the experiment violated rule 1, or came near, give a warning; those that stayed within half of the limit
// do not.
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
