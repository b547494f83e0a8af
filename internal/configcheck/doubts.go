// Package configcheck says which settings, each permitted, promise together what can't be kept. It reads values alone.
package configcheck

import (
	"fmt"

	"gingerfork/choice"
)

const (
	// tableLines is about how many lines a proxy's first table has beside the message's own: an arc's servers and the levels, as
	// measured by docs/experiments/rejoin.plan. It errs where arcs are larger.
	tableLines = 8
	// atMost is the part of bare-limit that a join of all may take: half is left for what comes with it.
	atMost = 0.5
)

// Of gives the doubts about a coordinator's settings.
func Warnings(b choice.Config) (all []string) {
	proxies := b.Settings.Proxies.Or(0) / max(1, b.Settings.Coordinators.Or(1))
	pace, limit := b.Settings.ChannelPace.Or(0), b.Settings.BareLimit.Or(0)
	if pace <= 0 || limit <= 0 {
		return nil
	}
	if took := proxies * (b.Settings.MessageLines.Or(0) + tableLines) / pace; took > atMost*limit {
		all = append(all, fmt.Sprintf("when all %.0f proxies of this coordinator join at once the last has its table after about %.1f s at pace %g; bare-limit is %gs: a greater pace, or more coordinators", proxies, took, pace, limit))
	}
	return all
}
