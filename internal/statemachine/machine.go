// Package statemachine says what every party of gingerfork looks like to whoever drives it: coordinator, front end, server,
// list service and relay alike. A machine is a plain state machine. It is handed the time and what came in, and leaves
// in Out what is to be done. It has no socket, clock, file or goroutine, so the loop (sockets, real time) and the
// rehearsal (a network in memory, virtual time) drive the same code.
package statemachine

import "gingerfork/internal/trace"

// Seconds are seconds with fractions. Where they tell the time they count from 1970; a driver's time never runs back.
type Seconds = float64

// Conn names a connection within one machine's life. The driver numbers accepted ones from 1 on; a machine numbers
// those it dials itself, with Dialled set, so that it knows the number before the connection stands.
type Conn uint64

// Dialled marks the connections that the machine opened.
const Dialed Conn = 1 << 63

// Kind tells what an input is.
type InputKind uint8

const (
	ConnOpened      InputKind = iota // a connection stands: one accepted at Door, or one that was dialled
	ConnData                         // bytes came on Conn
	ConnClosed                       // Conn is gone, or could not be opened; Why says so. Nothing more comes of it
	OperatorCommand                  // an operator's or a script's word, in Text
	Persisted                        // all records up to batch N are durable
	PersistFailed                    // the store is out of order, Text says why; a Kept later tells that it is not any more
)

// Input is one thing that came in.
type Input struct {
	Kind         InputKind
	Conn         Conn
	Listener     int // of the machine's listening addresses, which one
	Data         []byte
	Text         string
	LocalFailure bool // Closed: it could not be opened for want of something of our own, which says nothing of the other side
	Batch        uint64
}

// ActKind tells what an act is.
type ActionKind uint8

const (
	ActionDial  ActionKind = iota // open Conn to Addr
	ActionWrite                   // send Data on Conn
	ActionClose                   // close Conn once what was written has gone; no Closed comes back for it
	ActionAbort                   // close Conn at once, whatever waits
)

// Act is one thing to do with a connection, in order.
type Action struct {
	Kind ActionKind
	Conn Conn
	Addr string
	Data []byte
}

// Put is a record to be kept; without a value it is to be removed.
type Mutation struct {
	Key   string
	Value []byte
}

// Note is a line for the log: a message and pairs of key and value.
type LogEntry struct {
	Level      int // 0 debug, 1 info, 2 warning, 3 error
	Message    string
	Attributes []any
}

// Never is the time of what is not to happen.
const Never Seconds = 1e18

// Out gathers what a step wants done. The driver empties it between steps.
type Effects struct {
	Actions    []Action
	LogEntries []LogEntry
	Trace      []trace.Record
	Files      map[string][]byte // files to be replaced whole, by name
	Mutations  []Mutation        // records to be kept, all of them or none,
	Batch      uint64            // under this number; 0: none
	WakeAt     Seconds           // the step after this comes no later
	Failure    string            // the machine is broken and must not be stepped again
	Stop       bool              // the machine is done and wants to end
}

// Reset empties it for the next step.
func (o *Effects) Reset() {
	*o = Effects{Actions: o.Actions[:0], LogEntries: o.LogEntries[:0], Trace: o.Trace[:0], WakeAt: Never}
}

// Dial asks for a connection.
func (o *Effects) Dial(c Conn, addr string) {
	o.Actions = append(o.Actions, Action{Kind: ActionDial, Conn: c, Addr: addr})
}

// Write sends bytes; the machine must not touch them again.
func (o *Effects) Write(c Conn, data []byte) {
	o.Actions = append(o.Actions, Action{Kind: ActionWrite, Conn: c, Data: data})
}

// Close ends a connection after what was written.
func (o *Effects) Close(c Conn) { o.Actions = append(o.Actions, Action{Kind: ActionClose, Conn: c}) }

// Kill ends a connection at once.
func (o *Effects) Abort(c Conn) { o.Actions = append(o.Actions, Action{Kind: ActionAbort, Conn: c}) }

// At asks for a step at a time, if none comes sooner.
func (o *Effects) WakeBy(t Seconds) { o.WakeAt = min(o.WakeAt, t) }

// Log adds a line to the log.
func (o *Effects) Log(level int, text string, pairs ...any) {
	o.LogEntries = append(o.LogEntries, LogEntry{level, text, pairs})
}

// Save has a file replaced whole.
func (o *Effects) SaveFile(name string, data []byte) {
	if o.Files == nil {
		o.Files = map[string][]byte{}
	}
	o.Files[name] = data
}

// Keep has records kept. What became of them is told by Kept and NotKept.
func (o *Effects) Persist(puts []Mutation, batch uint64) { o.Mutations, o.Batch = puts, batch }

// Record adds a record to the trace.
func (o *Effects) Record(r trace.Record) { o.Trace = append(o.Trace, r) }

// Machine is one party.
type Machine interface {
	// Step takes what came in since the last one, in order, at a time that never runs back.
	Step(now Seconds, in []Input, out *Effects)
}
