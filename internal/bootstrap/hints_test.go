package bootstrap

import (
	"strings"
	"testing"
)

// What the experiment found to break rule 1 is told of; what it found to be within half of the limit is not.
func TestHintOnJoins(t *testing.T) {
	for pace, told := range map[string]bool{"5000": true, "14100": true, "50000": false} {
		text := strings.NewReplacer("proxy-count 8", "proxy-count 5000", "PACE", pace).Replace(`instance a
zone a
listen 127.0.0.1:1
list-service 127.0.0.1:2
coordinators 2
fleet
zones a
proxy-count 8
warm-after 15s
cold-share 28%
fall-multiple 2.5
fall-window 1500ms
drain-grace 2100ms
bare-limit 3700ms
proxies
pick pair
report-period 2s
push-time 5ms
push-time-worst 340ms
channel
room 400000
pace PACE
method read
effect idempotent
criticality 1
soft-deadline 1s
deadline 2500ms
`)
		lines, faults := Lex("a", text)
		trade, more := Parse("a", lines)
		if len(faults)+len(more) > 0 {
			t.Fatal(faults, more)
		}
		if got := trade.Hints(); (len(got) > 0) != told || told && !strings.Contains(got[0], "2500 proxies") {
			t.Errorf("pace %s: %q", pace, got)
		}
	}
}
