// Package configcheck finds settings that are valid one by one but cannot be met together.
package configcheck

import (
	"fmt"

	"gingerfork/choice"
)

const (
	// entriesPerTable is the approximate number of entries in a proxy's first table: the backends of its arc (those that the
	// decision module assigns to the proxy) and the admission levels, as measured by docs/experiments/rejoin.plan. Larger arcs
	// need more. The cost of the message itself, in entries, is the setting message-lines.
	entriesPerTable = 8
	// joinTimeShare is the largest share of the setting bare-limit (the longest time that a proxy may have no table entry) that
	// may pass until all proxies of the coordinator, joining it at once, have their tables.
	// The rest is a margin for other work at the same time.
	joinTimeShare = 0.5
)

// Warnings returns one sentence for each combination of a coordinator's settings that cannot be met.
func Warnings(config choice.Config) []string {
	settings := &config.Settings
	pace, limit := settings.ChannelLinesPerSecond.Or(0), settings.MaxTimeWithoutEntry.Or(0)
	if pace <= 0 || limit <= 0 {
		return nil
	}
	proxies := settings.ProxyCount.Or(0) / max(1, settings.Coordinators.Or(1))
	joinTime := proxies * (settings.MessageHeaderLines.Or(0) + entriesPerTable) / pace
	if joinTime <= joinTimeShare*limit {
		return nil
	}
	return []string{fmt.Sprintf(
		"when all %.0f proxies of this coordinator join at once, the last one gets its table after about %.1f s at pace %g; "+
			"bare-limit is %gs: use a greater pace or more coordinators", proxies, joinTime, pace, limit)}
}
