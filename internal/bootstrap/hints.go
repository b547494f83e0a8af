package bootstrap

import "fmt"

// tableLines is about how many lines a proxy's first table has beside the message's own: an arc's servers and the levels.
// Measured in docs/experiments (a storm of rejoins).
const tableLines = 8

// Hints are doubts about settings that are no faults: each figure is permitted, together they promise what can't be kept.
func (t *Trade) Hints() (all []string) {
	b := t.Coordinator(0)
	proxies := b.Num("proxies", 0) / max(1, b.Num("coordinators", 1))
	pace, limit := b.Num("channel_pace", 0), b.Num("bare_limit", 0)
	if pace <= 0 || limit <= 0 {
		return nil
	}
	if took := proxies * (b.Num("message_lines", 0) + tableLines) / pace; took > limit/2 {
		all = append(all, fmt.Sprintf("when all %.0f proxies of this coordinator join at once the last has its table after about %.1f s at pace %g; bare-limit is %gs: a greater pace, or more coordinators", proxies, took, pace, limit))
	}
	return all
}
