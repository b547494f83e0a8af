package platform

import (
	"slices"

	"gingerfork/internal/statemachine"
)

const (
	periodicCheckInterval statemachine.Seconds = 1
	// pauseThreshold is the time between two periodic checks above which the process is taken to have been stopped meanwhile.
	pauseThreshold statemachine.Seconds = 3
	minIdleTimeout statemachine.Seconds = 6 // lower bound of idleTimeout
)

// Factors of idleTimeout, and defaults in seconds for the settings that they multiply.
const (
	idleTimeoutReportPeriods = 3   // times the time between two reports of a proxy
	idleTimeoutPushTimes     = 20  // times the longest time that a push takes to the proxy
	defaultReportPeriod      = 1   // seconds
	defaultMaxPushTime       = 0.3 // seconds
)

// runPeriodicChecks closes connections whose peers have gone away without closing them, and logs changes of backends'
// health.
func (m *Machine) runPeriodicChecks(now statemachine.Seconds, out *statemachine.Effects) {
	if now > m.lastPeriodicCheck+pauseThreshold {
		m.lastPauseEnd = now // peers may have sent data during the pause that has not been read yet
	}
	m.lastPeriodicCheck = now
	m.closeIdleStreams(now, out)
	m.closeReplacedCollectors(now, out)
	m.logHealthChanges(out)
}

// idleTimeout returns how long a stream may send nothing while acknowledgements are missing: at least three periods of its
// usage reports, 20 times the longest time that an acknowledgement should take, and minIdleTimeout.
func (m *Machine) idleTimeout() statemachine.Seconds {
	settings := m.boot.Module.Settings
	return max(idleTimeoutReportPeriods*settings.ReportPeriod.Or(defaultReportPeriod), idleTimeoutPushTimes*settings.MaxPushTime.Or(defaultMaxPushTime), minIdleTimeout)
}

// closeIdleStreams closes streams whose peers have gone away without closing them, as after a network partition or the loss
// of a machine. Their proxies use other streams by then, and would count as joined here for as long as TCP keeps the
// connection open. Nothing is closed if no data came from any peer for a quarter of the timeout, because then this process
// is the one that is disconnected or was stopped. A proxy that is still there connects again and gets a complete table.
func (m *Machine) closeIdleStreams(now statemachine.Seconds, out *statemachine.Effects) {
	timeout := m.idleTimeout()
	if now > m.lastReceived+timeout/4 {
		return
	}
	for _, candidate := range m.streams {
		if candidate == nil || len(candidate.inFlight) == 0 || now < max(candidate.unacknowledgedSince, candidate.lastReceived, m.lastPauseEnd)+timeout {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, problemIdleStream, levelWarning, "idle stream with missing acknowledgements closed",
			"proxy", int(candidate.proxy), "silent_s", now-candidate.lastReceived)
		m.removeSession(candidate.session)
		out.Abort(candidate.session.conn)
		m.leave(candidate)
	}
}

// closeReplacedCollectors closes a collector's connection on which no data comes while data comes on a later connection from
// the same zone: the collector has lost the old connection without closing it and has connected again. Nothing else would
// ever free the old file descriptor.
func (m *Machine) closeReplacedCollectors(now statemachine.Seconds, out *statemachine.Effects) {
	m.collectors = slices.DeleteFunc(m.collectors, func(collector *session) bool { return m.sessions[collector.conn] != collector })
	latestByZone := map[string]*session{}
	for _, collector := range m.collectors {
		if latest := latestByZone[collector.zone]; latest == nil || collector.conn > latest.conn {
			latestByZone[collector.zone] = collector
		}
	}
	for _, collector := range m.collectors {
		latest := latestByZone[collector.zone]
		if latest == collector || latest.lastReceived <= collector.lastReceived || now < max(collector.lastReceived, m.lastPauseEnd)+m.idleTimeout() {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, problemReplacedCollector, levelWarning, "idle collector connection closed: replaced by a later connection",
			"zone", collector.zone, "silent_s", now-collector.lastReceived)
		m.removeSession(collector)
		out.Abort(collector.conn)
	}
}
