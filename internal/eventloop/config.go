package eventloop

import (
	"log/slog"
	"time"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
	"gingerfork/internal/trace"
)

const (
	defaultMaxWriteBuffer  = 4 << 20  // bytes a connection
	defaultMaxPendingInput = 64 << 20 // bytes
	defaultDialTimeout     = 5 * time.Second
	defaultEventLoops      = 1
)

// Bootstrap is the configuration of a Loop. Only Machine is required; what the zero value of the other fields means is
// said at each.
type Bootstrap struct {
	// Machine is the state machine to drive. Only the loop may call it until Wait has returned.
	Machine statemachine.Machine
	// Listen holds the TCP addresses to listen on; Input.Listener is an index into it. Empty: the loop only dials.
	Listen []string
	// Store is where mutations are persisted; nil: they are discarded. The caller closes it after Wait has returned.
	Store *store.Store
	// Dir is the folder for the files that the machine saves; "": they are discarded.
	Dir string
	// EventLoops is how many gnet event loops read and write; 0: one.
	EventLoops int
	// MaxWriteBuffer bounds the bytes that wait for a peer that does not read; a connection past it is reset. 0: 4 MiB.
	MaxWriteBuffer int
	// MaxPendingInput bounds the bytes that wait for the machine; past it nothing is read from any connection. 0: 64 MiB.
	MaxPendingInput int
	// MaxConnections bounds the open connections, those that are being dialed included; past it none is accepted before
	// one has closed. The machine chooses which to close and must do so below this bound. 0: unbounded.
	MaxConnections int
	// DialTimeout bounds each dial; 0: 5 s.
	DialTimeout time.Duration
	// Log receives the loop's own log entries and the machine's; nil: they are discarded.
	Log *slog.Logger
	// Trace receives the trace records of each step that has any, on the goroutine that runs the machine; nil: they are
	// discarded. The slice is valid only during the call.
	Trace func([]trace.Record)
	// RewriteDialAddress maps each address before it is dialed, on the dial's own goroutine; nil: addresses stay as they
	// are.
	RewriteDialAddress func(addr string) string
	// Clock is the machine's time; nil: a clock that is made at the start.
	Clock *Clock
}

// withDefaults returns b with its zero values replaced.
func (b Bootstrap) withDefaults() Bootstrap {
	b.MaxWriteBuffer = valueOrDefault(b.MaxWriteBuffer, defaultMaxWriteBuffer)
	b.MaxPendingInput = valueOrDefault(b.MaxPendingInput, defaultMaxPendingInput)
	b.DialTimeout = valueOrDefault(b.DialTimeout, defaultDialTimeout)
	b.EventLoops = valueOrDefault(b.EventLoops, defaultEventLoops)
	if b.Log == nil {
		b.Log = slog.New(slog.DiscardHandler)
	}
	if b.Clock == nil {
		b.Clock = NewClock()
	}
	return b
}

func valueOrDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
