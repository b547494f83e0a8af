package eventloop

import (
	"log/slog"
	"time"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
	"gingerfork/internal/trace"
)

// Defaults of the fields of Bootstrap.
const (
	defaultMaxWriteBuffer  = 4 << 20  // bytes per connection
	defaultMaxUnsent       = 64 << 20 // bytes, of all connections together
	defaultMaxPendingInput = 16 << 20 // bytes, of all connections together
	defaultDialTimeout     = 5 * time.Second
)

// Bootstrap is the configuration of a Loop. Only Machine is required; the other fields document the meaning of their zero
// value.
type Bootstrap struct {
	// Machine is the state machine to drive. Only the loop may call its methods until Wait has returned.
	Machine statemachine.Machine
	// Listen holds the TCP addresses to listen on; Input.Listener is an index into it. Empty: no connections are accepted.
	Listen []string
	// Store persists the machine's mutations; nil: they are discarded. The caller closes it after Wait has returned.
	Store *store.Store
	// Dir is the directory for the files that the machine saves; "": they are discarded.
	Dir string
	// MaxWriteBuffer limits the unsent bytes of a connection whose peer does not read; a connection that would exceed it
	// is reset. 0: 4 MiB.
	MaxWriteBuffer int
	// MaxUnsent limits the unsent bytes of all connections together; a connection whose peer does not read and that would exceed
	// it is reset. 0: 64 MiB.
	MaxUnsent int
	// MaxPendingInput limits the received bytes that wait for the machine. Each connection may have an equal part of it waiting, at
	// least 4 KiB and at most 64 KiB, and is not read above that. 0: 16 MiB.
	MaxPendingInput int
	// MaxConnections limits the number of connections, including those being dialed; at the limit none is accepted until
	// one has closed. The machine chooses which connections to close, and must do so below this limit. 0: unlimited.
	MaxConnections int
	// DialTimeout limits the duration of each dial; 0: 5 s.
	DialTimeout time.Duration
	// Log receives the loop's own log entries and the machine's; nil: they are discarded.
	Log *slog.Logger
	// Trace receives the trace records of each step that has any. It runs on the machine's goroutine, and the slice is valid
	// only during the call. nil: the records are discarded.
	Trace func([]trace.Record)
	// RewriteDialAddress replaces each address before it is dialed. It runs on the dial's own goroutine. nil: addresses are
	// dialed as they are.
	RewriteDialAddress func(addr string) string
	// Clock provides the machine's time; nil: a new clock is created at the start.
	Clock *Clock
}

// withDefaults returns b with zero values replaced by their defaults.
func (b Bootstrap) withDefaults() Bootstrap {
	b.MaxWriteBuffer = valueOrDefault(b.MaxWriteBuffer, defaultMaxWriteBuffer)
	b.MaxPendingInput = valueOrDefault(b.MaxPendingInput, defaultMaxPendingInput)
	b.DialTimeout = valueOrDefault(b.DialTimeout, defaultDialTimeout)
	b.MaxUnsent = valueOrDefault(b.MaxUnsent, defaultMaxUnsent)
	if b.Log == nil {
		b.Log = slog.New(slog.DiscardHandler)
	}
	if b.Clock == nil {
		b.Clock = NewClock()
	}
	return b
}

// valueOrDefault returns value, or defaultValue if value is zero.
func valueOrDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
