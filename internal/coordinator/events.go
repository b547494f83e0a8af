package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
)

// streamID identifies a proxy's stream. Machine uses the number of the stream's connection.
type streamID uint64

// event is something that happened to the controller; it is one of the types below.
type event interface{ isEvent() }

type (
	// proxyJoined is a proxy whose hello was accepted.
	proxyJoined struct {
		stream streamID
		hello  proto.Hello
	}
	// streamClosed is the end of a proxy's stream.
	streamClosed struct{ stream streamID }
	// pushAcknowledged is a proxy's acknowledgement of a push. The nonce is the one on the wire.
	pushAcknowledged struct {
		stream streamID
		nonce  uint64
	}
	// proxyReported is a proxy's report of its usage and of its attempts at backends.
	proxyReported struct {
		stream streamID
		report proto.Reports
	}
	// endpointListReceived is a frame of the endpoint list service.
	endpointListReceived struct{ list proto.EndpointUpdate }
	// endpointListLost says that the endpoint list service cannot be reached or that its stream ended.
	endpointListLost struct{}
	// batchPersisted says that all records up to this batch are durable.
	batchPersisted struct{ batch uint64 }
	// persistFailed says that the store does not accept records at present.
	persistFailed struct{}
	// probeFinished is the result of a probe: a reply, a failed connection or a timeout.
	probeFinished struct {
		backend  choice.BackendID
		ok, busy bool
		latency  choice.Seconds
	}
	// peerMessage is a message of another coordinator.
	peerMessage struct {
		from choice.PeerID
		data string
	}
)

func (proxyJoined) isEvent()          {}
func (streamClosed) isEvent()         {}
func (pushAcknowledged) isEvent()     {}
func (proxyReported) isEvent()        {}
func (endpointListReceived) isEvent() {}
func (endpointListLost) isEvent()     {}
func (batchPersisted) isEvent()       {}
func (persistFailed) isEvent()        {}
func (probeFinished) isEvent()        {}
func (peerMessage) isEvent()          {}

// stepResult is what a step of the controller wants done. Each list is in order.
type stepResult struct {
	pushes           []outgoingPush
	rejections       []rejection
	probes           []probeTarget
	watch            *proto.WatchEndpoints // for the endpoint list service; nil if the watch stays as it is
	fetch            bool                  // the whole endpoint list is to be requested once
	peerMessages     []choice.SendToPeer
	logMessages      []string // texts of the decision module
	exclusionChanges []exclusionChange
	mutations        []checkpoint.Mutation // records to persist together, under the number in batch
	batch            uint64                // 0 if there is nothing to persist
	wakeAt           choice.Seconds
	// endpointListError says why the last frame of the endpoint list was rejected. The stream that it came on must be closed.
	endpointListError error
}

type (
	// outgoingPush is a push to be written to a proxy's stream now.
	outgoingPush struct {
		stream streamID
		push   proto.Push
	}
	// rejection ends a proxy's stream and tells the proxy the reason.
	rejection struct {
		stream streamID
		reason string
	}
	// exclusionChange says that a backend was excluded or restored, for the log.
	exclusionChange struct {
		backend  choice.BackendID
		excluded bool
		proxies  int    // how many get the change
		nonce    uint64 // of the pushes, as on the wire
	}
	// probeTarget is a backend to probe.
	probeTarget struct {
		backend choice.BackendID
		addr    string
	}
)
