package emulator

// Status is how an attempt ends at the backend. The numbers are those of the wire protocol.
type Status uint8

// The statuses of an attempt.
const (
	StatusOK       Status = iota
	StatusRejected        // the RPC was not executed
	StatusAborted         // the RPC may have been executed
)

// ConnID is a connection, by the number that the driver of a model gives it.
type ConnID uint64

// RPC is one attempt as it reaches the backend.
type RPC struct {
	ID             uint64
	Method         int
	IdempotencyKey uint64 // 0: none
	CacheKey       uint64 // 0: none
	TimeLeft       Seconds
}

// Effect is something that a model did and that its driver carries out or records: one of the types below.
type Effect any

type (
	// Reply ends an attempt.
	Reply struct {
		Conn   ConnID
		ID     uint64
		Status Status
		Load   float64 // reported; below 0: none is
	}
	// Executed tells that the execution of an RPC began.
	Executed struct{ RPC RPC }
	// ProbeReply answers a probe.
	ProbeReply struct {
		Conn   ConnID
		ID     uint64
		Status Status
	}
	// OverloadApproached tells that a backend that is warming up came closer to its collapse than before.
	OverloadApproached struct {
		Ratio float64 // of the work that arrived to what makes it collapse
		RPCs  int     // within the overload window
	}
	// Collapsed tells that a backend was overloaded while it was warming up. It does nothing any more.
	Collapsed struct{}
	// ConnRejected closes a connection without an answer.
	ConnRejected struct{ Conn ConnID }
)
