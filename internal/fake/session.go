package fake

import (
	"fmt"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

const (
	// reconnectBackoffStep is by how much the time until the next dial grows with each consecutive failure.
	reconnectBackoffStep statemachine.Seconds = 0.1
	// maxReconnectBackoff is the maximum time until the next dial, without jitter.
	maxReconnectBackoff statemachine.Seconds = 2
	// maxSilentReportPeriods is the number of report periods without a message from the coordinator after which the front end
	// ends the session.
	maxSilentReportPeriods = 4
)

// session is the state of the connection to a coordinator, and what is kept from one connection to the next.
type session struct {
	conn                statemachine.Conn // 0: none
	joined              bool              // the coordinator has welcomed the front end
	coordinator         string            // name of the coordinator that sent the last welcome
	tablesFrom          string            // name of the coordinator whose tables are in use; empty: none
	lastAckedNonce      uint64            // nonce of the last acknowledged push
	lastPushSequence    uint64            // sequence number of the last push on this connection
	coordinatorIndex    int               // index in FrontEndConfig.Coordinators of the address to dial, modulo the number of addresses
	consecutiveFailures int               // failed dials and lost connections since the last welcome
	reader              proto.Reader
	lastReceivedAt      statemachine.Seconds
	pendingPushes       []proto.Push // pushes received during a pause and applied when the pause ends
}

// dialCoordinator dials the coordinator whose turn it is.
func (f *FrontEnd) dialCoordinator(now statemachine.Seconds) {
	f.lastDialed++
	f.session.conn = f.lastDialed
	f.session.reader = proto.Reader{}
	f.session.lastReceivedAt = now
	f.session.lastPushSequence = 0
	addresses := f.config.Coordinators
	f.out.Dial(f.session.conn, addresses[f.session.coordinatorIndex%len(addresses)])
}

// endSession forgets the connection and schedules the next dial. The tables stay in use. After the first failure the same
// coordinator is dialed again, after each further one the next coordinator.
func (f *FrontEnd) endSession(now statemachine.Seconds, reason string) {
	if f.session.joined {
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyLeft, Party: f.config.Name, Coordinator: f.session.coordinator, Text: reason})
		f.session.consecutiveFailures = 0
	}
	f.session.conn = 0
	f.session.joined = false
	f.session.pendingPushes = nil // they were not acknowledged, so the coordinator pushes them again in the next session
	f.session.consecutiveFailures++
	if f.session.consecutiveFailures > 1 {
		f.session.coordinatorIndex++
	}
	backoff := min(reconnectBackoffStep*float64(f.session.consecutiveFailures), maxReconnectBackoff) * f.jitter()
	f.timers.schedule(now+backoff, func(now statemachine.Seconds) {
		if f.session.conn == 0 {
			f.dialCoordinator(now)
		}
	})
}

// coordinatorSilent reports whether nothing has come from the coordinator for too long.
func (f *FrontEnd) coordinatorSilent(now statemachine.Seconds) bool {
	return now-f.session.lastReceivedAt > maxSilentReportPeriods*f.config.ReportPeriod
}

// handleCoordinatorInput handles an input on the connection to the coordinator.
func (f *FrontEnd) handleCoordinatorInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		f.session.lastReceivedAt = now
		f.out.Write(f.session.conn, proto.Append(nil, proto.Hello{
			Version: proto.Version, Role: proto.RoleProxy, Name: f.config.Name, Zone: f.config.Zone, Rate: f.clientTraffic.rate,
			HasNoTables: f.session.tablesFrom == "", TablesOf: f.session.tablesFrom, Nonce: f.session.lastAckedNonce,
		}))
	case statemachine.ConnClosed:
		f.endSession(now, input.Text)
	case statemachine.ConnData:
		f.session.lastReceivedAt = now
		f.session.reader.Feed(input.Data)
		f.readCoordinatorMessages(now)
	}
}

// readCoordinatorMessages handles the complete messages that the coordinator sent. An invalid one ends the session; the reason is
// sent to the coordinator.
func (f *FrontEnd) readCoordinatorMessages(now statemachine.Seconds) {
	conn := f.session.conn
	for f.session.conn == conn {
		message, err := f.session.reader.Next()
		if err == nil && message == nil {
			return
		}
		if err == nil {
			err = f.handleCoordinatorMessage(now, message)
		}
		if err != nil {
			f.out.Write(conn, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			f.out.Close(conn)
			f.endSession(now, err.Error())
		}
	}
}

// handleCoordinatorMessage handles one message. The text of its errors is sent to the coordinator.
func (f *FrontEnd) handleCoordinatorMessage(now statemachine.Seconds, message proto.Message) error {
	switch message := message.(type) {
	case proto.Welcome:
		f.session.reader.HandshakeDone()
		f.session.joined = true
		f.session.coordinator = message.Name
		f.session.consecutiveFailures = 0
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyJoined, Party: f.config.Name, Coordinator: message.Name, Zone: f.config.Zone})
	case proto.Push:
		return f.receivePush(now, message)
	case proto.ReportsReceived:
		// This acknowledges a report. handleCoordinatorInput has already noted when the data arrived.
	case proto.Reject:
		f.out.Close(f.session.conn)
		f.endSession(now, message.Reason)
	default:
		return fmt.Errorf("a %s on a proxy's stream", proto.WireName(message))
	}
	return nil
}

// receivePush checks the sequence number of a push and applies the push. If its application pauses the front end, the push is queued
// until the pause ends.
func (f *FrontEnd) receivePush(now statemachine.Seconds, push proto.Push) error {
	f.session.lastPushSequence++
	if !f.session.joined || push.Sequence != f.session.lastPushSequence {
		return fmt.Errorf("push %d, %d wanted", push.Sequence, f.session.lastPushSequence)
	}
	size := pushSize(push)
	f.out.Record(trace.Record{
		Time: now, Kind: trace.PushSent, Party: f.config.Name, Coordinator: f.session.coordinator, Nonce: int(push.Nonce),
		Count: int64(push.QueuedEntries), Value: float64(size),
	})
	f.pausedUntil = max(f.pausedUntil, now) + float64(size)*f.config.ApplyTimePerEntry
	if f.pausedUntil > now {
		f.session.pendingPushes = append(f.session.pendingPushes, push)
		return nil
	}
	f.applyPush(now, push)
	return nil
}

// pushSize returns the number of operations, table entries and admission levels of a push.
func pushSize(push proto.Push) int {
	size := 0
	for _, operation := range push.Ops {
		size += 1 + len(operation.Entries) + len(operation.Admissions)
	}
	return size
}

// applyPendingPushes applies the pushes that were received during the pause that is now over.
func (f *FrontEnd) applyPendingPushes(now statemachine.Seconds) {
	for _, push := range f.session.pendingPushes {
		f.applyPush(now, push)
	}
	f.session.pendingPushes = f.session.pendingPushes[:0]
}
