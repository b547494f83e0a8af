package platform

import (
	"slices"

	"gingerfork/internal/statemachine"
)

const (
	periodicCheckInterval statemachine.Seconds = 1
	// pauseThreshold is the time between two periodic checks above which the process is taken to have been stopped meanwhile.
	pauseThreshold statemachine.Seconds = 3
	minIdleTimeout statemachine.Seconds = 6
)

// Factors of the idle timeout, and defaults in seconds for the settings that they multiply.
const (
	idleTimeoutReportPeriods = 3
	idleTimeoutPushTimes     = 20
	defaultReportPeriod      = 1
	defaultPushTimeWorst     = 0.3
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
// usage reports, and 20 times the longest time that an acknowledgement should take.
func (m *Machine) idleTimeout() statemachine.Seconds {
	settings := m.boot.Module.Settings
	return max(idleTimeoutReportPeriods*settings.ReportPeriod.Or(defaultReportPeriod), idleTimeoutPushTimes*settings.PushTimeWorst.Or(defaultPushTimeWorst), minIdleTimeout)
}

// closeIdleStreams closes streams whose peers have gone away without closing them, as after a network partition or the loss
// of a machine. Their proxies use other streams by then, and would count as joined here for as long as TCP keeps the
// connection open. Nothing is closed while no data comes from any peer, because then this process is the one that is
// disconnected or was stopped. A proxy that is still there connects again and gets a complete table.
func (m *Machine) closeIdleStreams(now statemachine.Seconds, out *statemachine.Effects) {
	timeout := m.idleTimeout()
	if now > m.lastReceived+timeout/4 {
		return
	}
	for _, s := range m.streams {
		if s == nil || len(s.inFlight) == 0 || now < max(s.unacknowledgedSince, s.lastReceived, m.lastPauseEnd)+timeout {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, problemIdleStream, levelWarning, "idle stream with missing acknowledgements closed",
			"proxy", int(s.proxy), "silent_s", now-s.lastReceived)
		delete(m.sessions, s.session.conn)
		out.Abort(s.session.conn)
		m.leave(s)
	}
}

// closeReplacedCollectors closes a collector's connection on which no data comes while data comes on a later connection from
// the same zone: the collector has lost the old connection without closing it and has connected again. Nothing else would
// ever free the old file descriptor.
func (m *Machine) closeReplacedCollectors(now statemachine.Seconds, out *statemachine.Effects) {
	m.collectors = slices.DeleteFunc(m.collectors, func(s *session) bool { return m.sessions[s.conn] != s })
	newest := map[string]*session{}
	for _, s := range m.collectors {
		if other := newest[s.zone]; other == nil || s.conn > other.conn {
			newest[s.zone] = s
		}
	}
	for _, s := range m.collectors {
		other := newest[s.zone]
		if other == s || other.lastReceived <= s.lastReceived || now < max(s.lastReceived, m.lastPauseEnd)+m.idleTimeout() {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, problemReplacedCollector, levelWarning, "idle collector connection closed: replaced by a later connection",
			"zone", s.zone, "silent_s", now-s.lastReceived)
		delete(m.sessions, s.conn)
		out.Abort(s.conn)
	}
}
