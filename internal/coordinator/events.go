package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
)

// streamID identifies a proxy's stream. Machine uses the number of the stream's connection.
type streamID uint64

// event is an input of the controller; it is one of the types below.
type event interface{ isEvent() }

type (
	// proxyJoined reports that a proxy's hello was accepted.
	proxyJoined struct {
		stream streamID
		hello  proto.Hello
	}
	// streamClosed reports that a proxy's stream ended.
	streamClosed struct{ stream streamID }
	// pushAcknowledged reports that a proxy acknowledged the push with this nonce on the wire.
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
	endpointListReceived struct{ update proto.EndpointUpdate }
	// endpointListLost reports that the endpoint list service cannot be reached or that its stream ended.
	endpointListLost struct{}
	// batchPersisted reports that all records up to the batch with this number are durable.
	batchPersisted struct{ batch uint64 }
	// persistFailed reports that the store currently does not accept records.
	persistFailed struct{}
	// probeFinished is the result of a probe: a reply, a failed connection or a timeout.
	probeFinished struct {
		backend  choice.BackendID
		ok, busy bool // ok: the backend replied that it is well; busy: it replied that it has no capacity for probes
		latency  choice.Seconds
	}
	// peerMessage is a message from another coordinator.
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

// stepResult is what is to be done after a step of the controller. The order of each list is to be kept.
type stepResult struct {
	pushes           []outgoingPush
	rejections       []rejection
	probes           []probeTarget
	watch            *proto.WatchEndpoints // request to the endpoint list service; nil if the watch stays as it is
	fetch            bool                  // the whole endpoint list is to be requested once
	peerMessages     []choice.SendToPeer
	logMessages      []string // log messages of the decision module
	exclusionChanges []exclusionChange
	mutations        []checkpoint.Mutation // records to persist together, as the batch below
	batch            uint64                // number of the batch; 0 if there is nothing to persist
	wakeAt           choice.Seconds        // latest time of the next step
	// endpointListError is not nil if a frame of the endpoint list was rejected. The stream on which it came must be closed.
	endpointListError error
}

type (
	// outgoingPush is a push to be written to a proxy's stream now.
	outgoingPush struct {
		stream streamID
		push   proto.Push
	}
	// rejection is a proxy's stream to be closed after the reason was sent on it.
	rejection struct {
		stream streamID
		reason string
	}
	// exclusionChange is an exclusion or restoration of a backend that is to be logged.
	exclusionChange struct {
		backend  choice.BackendID
		excluded bool
		proxies  int    // number of proxies that are sent the change
		nonce    uint64 // nonce of the pushes that send the change, as on the wire; 0 if they have none
	}
	// probeTarget is a backend to probe.
	probeTarget struct {
		backend choice.BackendID
		addr    string
	}
)
