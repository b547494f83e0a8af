// Package configcheck finds settings that are valid one by one but together promise what cannot be kept.
package configcheck

import (
	"fmt"

	"gingerfork/choice"
)

const (
	// entriesPerTable is about how many entries a proxy's first table has beside the message itself: the backends of an arc
	// and the admission levels, as measured by docs/experiments/rejoin.plan. Larger arcs need more.
	entriesPerTable = 8
	// joinTimeShare is the part of bare-limit that a join of all proxies at once may take; the rest is left for what else
	// happens meanwhile.
	joinTimeShare = 0.5
)

// Warnings returns one sentence for each combination of a coordinator's settings that cannot be kept.
func Warnings(config choice.Config) []string {
	settings := &config.Settings
	pace, limit := settings.ChannelPace.Or(0), settings.BareLimit.Or(0)
	if pace <= 0 || limit <= 0 {
		return nil
	}
	proxies := settings.Proxies.Or(0) / max(1, settings.Coordinators.Or(1))
	joinTime := proxies * (settings.MessageLines.Or(0) + entriesPerTable) / pace
	if joinTime <= joinTimeShare*limit {
		return nil
	}
	return []string{fmt.Sprintf(
		"when all %.0f proxies of this coordinator join at once the last has its table after about %.1f s at pace %g; "+
			"bare-limit is %gs: a greater pace, or more coordinators", proxies, joinTime, pace, limit)}
}
