package fake

import (
	"fmt"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

const (
	// reconnectBackoffStep is added to the wait before the next dial with each failure in a row.
	reconnectBackoffStep statemachine.Seconds = 0.1
	// maxReconnectBackoff bounds the wait before the next dial, before jitter.
	maxReconnectBackoff statemachine.Seconds = 2
	// silentReportPeriods is after how many report periods without a message a coordinator counts as unreachable.
	silentReportPeriods = 4
)

// session is the connection to a coordinator.
type session struct {
	stream           statemachine.Conn // 0: none
	joined           bool
	coordinator      string // the name in the last welcome
	tablesOf         string // the coordinator whose tables are in use
	nonce            uint64 // of the last push that was acknowledged
	sequence         uint64 // of the last push on this stream
	coordinatorIndex int    // of the address that is dialed, not reduced by the number of addresses
	failedDials      int    // in a row
	reader           proto.Reader
	lastReceived     statemachine.Seconds
	pendingPushes    []proto.Push // received, to be applied when the pause ends
}

func (f *FrontEnd) dialCoordinator(now statemachine.Seconds) {
	f.conns++
	f.session.stream = f.conns
	f.session.reader = proto.Reader{}
	f.session.lastReceived = now
	f.session.sequence = 0
	addresses := f.config.Coordinators
	f.out.Dial(f.session.stream, addresses[f.session.coordinatorIndex%len(addresses)])
}

// endSession forgets the stream and schedules the next dial. The tables stay in force. The first failure is followed by a
// dial to the same coordinator, further ones by dials to the next.
func (f *FrontEnd) endSession(now statemachine.Seconds, reason string) {
	if f.session.joined {
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyLeft, Party: f.config.Name, Coordinator: f.session.coordinator, Text: reason})
		f.session.failedDials = 0
	}
	f.session.stream = 0
	f.session.joined = false
	f.session.pendingPushes = nil // not acknowledged, so the next session brings them again
	f.session.failedDials++
	if f.session.failedDials > 1 {
		f.session.coordinatorIndex++
	}
	backoff := min(reconnectBackoffStep*float64(f.session.failedDials), maxReconnectBackoff) * f.jitter()
	f.timers.schedule(now+backoff, func(now statemachine.Seconds) {
		if f.session.stream == 0 {
			f.dialCoordinator(now)
		}
	})
}

// coordinatorSilent tells whether nothing came from the coordinator for too long.
func (f *FrontEnd) coordinatorSilent(now statemachine.Seconds) bool {
	return now-f.session.lastReceived > silentReportPeriods*f.config.ReportPeriod
}

func (f *FrontEnd) handleCoordinatorInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		f.session.lastReceived = now
		f.out.Write(f.session.stream, proto.Append(nil, proto.Hello{
			Version: proto.Version, Role: proto.RoleProxy, Name: f.config.Name, Zone: f.config.Zone, Rate: f.clients.rate,
			HasNoTables: f.session.tablesOf == "", TablesOf: f.session.tablesOf, Nonce: f.session.nonce,
		}))
	case statemachine.ConnClosed:
		f.endSession(now, input.Text)
	case statemachine.ConnData:
		f.session.lastReceived = now
		f.session.reader.Feed(input.Data)
		f.readCoordinatorMessages(now)
	}
}

// readCoordinatorMessages handles the complete messages that the stream brought. An invalid one ends the session, with
// the reason sent to the coordinator.
func (f *FrontEnd) readCoordinatorMessages(now statemachine.Seconds) {
	stream := f.session.stream
	for f.session.stream == stream {
		message, err := f.session.reader.Next()
		if err == nil && message == nil {
			return
		}
		if err == nil {
			err = f.handleCoordinatorMessage(now, message)
		}
		if err != nil {
			f.out.Write(stream, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			f.out.Close(stream)
			f.endSession(now, err.Error())
		}
	}
}

// handleCoordinatorMessage acts on one message. The text of its errors goes out on the wire.
func (f *FrontEnd) handleCoordinatorMessage(now statemachine.Seconds, message proto.Message) error {
	switch message := message.(type) {
	case proto.Welcome:
		f.session.reader.HandshakeDone()
		f.session.joined = true
		f.session.coordinator = message.Name
		f.session.failedDials = 0
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyJoined, Party: f.config.Name, Coordinator: message.Name, Zone: f.config.Zone})
	case proto.Push:
		return f.receivePush(now, message)
	case proto.ReportsReceived:
		// It acknowledges a report; that something came is noted for every message.
	case proto.Reject:
		f.out.Close(f.session.stream)
		f.endSession(now, message.Reason)
	default:
		return fmt.Errorf("a %s on a proxy's stream", proto.WireName(message))
	}
	return nil
}

// receivePush applies a push, or queues it for the end of the pause that its application takes.
func (f *FrontEnd) receivePush(now statemachine.Seconds, push proto.Push) error {
	f.session.sequence++
	if !f.session.joined || push.Sequence != f.session.sequence {
		return fmt.Errorf("push %d, %d wanted", push.Sequence, f.session.sequence)
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

// pushSize counts the operations, table entries and admission levels of a push.
func pushSize(push proto.Push) int {
	size := 0
	for _, operation := range push.Ops {
		size += 1 + len(operation.Entries) + len(operation.Admissions)
	}
	return size
}

// applyPending applies the pushes that were received during the pause that is now over.
func (f *FrontEnd) applyPending(now statemachine.Seconds) {
	for _, push := range f.session.pendingPushes {
		f.applyPush(now, push)
	}
	f.session.pendingPushes = f.session.pendingPushes[:0]
}
