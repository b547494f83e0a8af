package emulator

// Status is the outcome of an attempt at the backend. The values are those of the wire protocol.
type Status uint8

// The statuses of an attempt.
const (
	StatusOK       Status = iota
	StatusRejected        // the RPC was not executed
	StatusAborted         // the RPC may have been executed
)

// ConnID identifies a connection. The driver of the model assigns it.
type ConnID uint64

// RPC is one attempt of an RPC as it arrives at the backend.
type RPC struct {
	ID             uint64
	Method         int
	IdempotencyKey uint64  // 0: none
	CacheKey       uint64  // 0: none
	TimeLeft       Seconds // from the RPC's arrival until the client's deadline
}

// Effect is an output of a model, one of the types below. The driver of the model performs or records it.
type Effect any

type (
	// Reply is the reply to an attempt.
	Reply struct {
		Conn   ConnID
		ID     uint64
		Status Status
		Load   float64 // jobs per core, as reported in the reply; negative: no report
	}
	// Executed says that the execution of an RPC began.
	Executed struct{ RPC RPC }
	// ProbeReply is the reply to a probe.
	ProbeReply struct {
		Conn   ConnID
		ID     uint64
		Status Status
	}
	// OverloadApproached says that a backend that is warming up came closer to its collapse than ever before.
	OverloadApproached struct {
		Ratio float64 // work that arrived within Config.OverloadWindow, divided by the work above which the backend collapses
		RPCs  int     // RPCs that arrived within Config.OverloadWindow
	}
	// Collapsed says that the backend was overloaded while it was warming up. It has stopped working for good.
	Collapsed struct{}
	// ConnRejected asks to close a connection without a reply.
	ConnRejected struct{ Conn ConnID }
)
