package platform

import (
	"slices"

	"gingerfork/internal/statemachine"
)

const (
	idleCheckInterval statemachine.Seconds = 1
	// pauseThreshold is the time without an idle check after which the process must have been stopped.
	pauseThreshold statemachine.Seconds = 3
	minIdleTimeout statemachine.Seconds = 6
)

// Factors and defaults for the idle timeout; periods in seconds.
const (
	idleReportPeriods    = 3
	idlePushTimes        = 20
	defaultReportPeriod  = 1
	defaultPushTimeWorst = 0.3
)

// checkIdle closes connections whose peers are gone without having closed them, and logs changes of backends' health.
func (m *Machine) checkIdle(now statemachine.Seconds, out *statemachine.Effects) {
	if now > m.lastIdleCheck+pauseThreshold {
		m.lastPause = now // data that came during the pause has not been read yet
	}
	m.lastIdleCheck = now
	m.closeIdleStreams(now, out)
	m.closeReplacedCollectors(now, out)
	m.logHealthChanges(out)
}

// idleTimeout is the time for which a stream may be silent while acknowledgements are missing: three periods of its usage
// reports, and far longer than any acknowledgement takes.
func (m *Machine) idleTimeout() statemachine.Seconds {
	settings := m.boot.Module.Settings
	return max(idleReportPeriods*settings.ReportPeriod.Or(defaultReportPeriod), idlePushTimes*settings.PushTimeWorst.Or(defaultPushTimeWorst), minIdleTimeout)
}

// closeIdleStreams closes streams whose peers are gone without having closed them, as after a network partition or the
// loss of a machine. Their proxies use other streams by then, and would count as joined here for as long as TCP keeps the
// connection. Nothing is closed while no peer at all is received from: then it is this process that is disconnected or was
// stopped. A proxy that is still there connects again and gets a complete table.
func (m *Machine) closeIdleStreams(now statemachine.Seconds, out *statemachine.Effects) {
	timeout := m.idleTimeout()
	if now > m.lastReceived+timeout/4 {
		return
	}
	for _, s := range m.streams {
		if s == nil || len(s.inFlight) == 0 || now < max(s.unacknowledgedSince, s.lastReceived, m.lastPause)+timeout {
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

// closeReplacedCollectors closes collectors' connections that are silent while a later one of the same zone is not: the
// collector lost its connection without closing it and has connected again. Nothing else would ever free the old file
// descriptor.
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
		if other == s || other.lastReceived <= s.lastReceived || now < max(s.lastReceived, m.lastPause)+m.idleTimeout() {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, problemReplacedCollector, levelWarning, "idle collector connection replaced by a later one closed",
			"zone", s.zone, "silent_s", now-s.lastReceived)
		delete(m.sessions, s.conn)
		out.Abort(s.conn)
	}
}
