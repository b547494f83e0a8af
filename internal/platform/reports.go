package platform

import (
	"fmt"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// handleMessage handles one message of a proxy or a collector. If it returns a *wire.MessageError, the message is dropped,
// or the connection closed if it is in its handshake.
func (m *Machine) handleMessage(now statemachine.Seconds, peer *session, message wire.Message, out *statemachine.Effects) error {
	if _, ok := message.(wire.Heartbeat); ok {
		out.Write(peer.conn, wire.AppendHeartbeatReply(nil))
		return nil
	}
	if peer.role == roleHandshake {
		return m.handleHandshake(now, peer, message, out)
	}
	switch message := message.(type) {
	case wire.Acknowledgement:
		if peer.role != roleProxy || message.Proxy != int(peer.stream.proxy) {
			return invalidMessage("acknowledgement", "it is not from the proxy's stream")
		}
		m.acknowledge(peer.stream, message)
		return nil
	case wire.UsageReport:
		return m.handleUsageReport(peer, message)
	case wire.AttemptReport:
		return m.handleAttemptReport(peer, message)
	}
	return invalidMessage("joining", "it is joined already")
}

// handleHandshake handles the first message of a connection other than heartbeats. Only a join is valid. The texts of the
// errors are sent to the peer.
func (m *Machine) handleHandshake(now statemachine.Seconds, peer *session, message wire.Message, out *statemachine.Effects) error {
	switch message := message.(type) {
	case wire.CollectorJoin:
		if !m.zones[message.Zone] {
			return invalidMessage("collector", "zone %.32q is not one of ours", message.Zone)
		}
		peer.role, peer.decoder.MaxBytes, peer.zone = roleCollector, maxMessageBytes, message.Zone
		m.collectors = append(m.collectors, peer)
		out.Log(levelInfo, "collector joined", "zone", message.Zone)
		return nil
	case wire.ProxyJoin:
		return m.join(now, peer, message, out)
	}
	return invalidMessage("report", "it came before a joining")
}

// handleUsageReport passes a usage report of a proxy to the decision module. peer is that proxy or a collector that forwards
// the report.
func (m *Machine) handleUsageReport(peer *session, report wire.UsageReport) error {
	if peer.role == roleProxy && report.Proxy != int(peer.stream.proxy) {
		return invalidMessage("usage report", "it is of another proxy")
	}
	method := slices.Index(m.methods, report.Method)
	if report.Proxy >= len(m.streams) || method < 0 {
		return invalidMessage("usage report", "proxy %d or method %.32q does not exist", report.Proxy, report.Method)
	}
	// Collectors also forward reports of proxies that have left or that are joined at another coordinator; they are ignored.
	if m.streams[report.Proxy] == nil || report.RPCs+report.Failures == 0 {
		return nil
	}
	m.events = append(m.events, choice.UsageReport{
		Proxy: choice.ProxyID(report.Proxy), Method: choice.MethodID(method), RPCs: report.RPCs, Failures: report.Failures, Span: report.Span,
	})
	return nil
}

// handleAttemptReport passes an attempt report of a collector to the decision module.
func (m *Machine) handleAttemptReport(peer *session, report wire.AttemptReport) error {
	id, known := m.endpoints.ids[report.Backend]
	switch {
	case peer.role != roleCollector:
		return invalidMessage("attempt report", "it is not from a collector")
	case !m.zones[report.Zone] || !known:
		return invalidMessage("attempt report", "zone %.32q or backend %.32q does not exist", report.Zone, report.Backend)
	case report.Attempts == 0:
		return nil
	}
	m.events = append(m.events, choice.AttemptReport{
		Backend: id, Zone: choice.Zone(report.Zone), Attempts: report.Attempts, Failures: report.Failures,
		MeanLatency: report.MeanLatency, Span: report.Span, Load: m.loadColumns(report.Load),
	})
	return nil
}

// loadColumns returns the values of a load report in the order of the settings' columns, with 0 for a missing value, or nil
// if the report is empty.
func (m *Machine) loadColumns(load map[string]float64) []float64 {
	if len(load) == 0 {
		return nil
	}
	var columns []float64
	for _, column := range m.boot.Module.Settings.FeedbackColumns {
		columns = append(columns, load[column])
	}
	return columns
}

// invalidMessage returns the error for a message that is decoded but not acceptable.
func invalidMessage(kind, format string, args ...any) error {
	return &wire.MessageError{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}
