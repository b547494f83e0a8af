package configcheck

import (
	"strings"
	"testing"

	"gingerfork/choice"
)

// What the experiment found to break rule 1, or to come near, is told of; what it found within half of the limit is not.
func TestSlowChannel(t *testing.T) {
	for pace, told := range map[float64]bool{5000: true, 14100: true, 50000: false, 0: false} {
		got := Warnings(choice.Config{Settings: choice.DecodeSettings(map[string]any{"proxies": 5000.0, "coordinators": 2.0, "message_lines": 10.0, "bare_limit": 3.7, "channel_pace": pace})})
		if (len(got) > 0) != told || told && !strings.Contains(got[0], "2500 proxies") {
			t.Errorf("pace %g: %q", pace, got)
		}
	}
}
