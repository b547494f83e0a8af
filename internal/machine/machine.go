// Package machine says what every party of gingerfork looks like to whoever drives it: coordinator, front end, server,
// list service and relay alike. A machine is a plain state machine. It is handed the time and what came in, and leaves
// in Out what is to be done. It has no socket, clock, file or goroutine, so the loop (sockets, real time) and the
// rehearsal (a network in memory, virtual time) drive the same code.
package machine

import "gingerfork/internal/trace"

// Seconds are seconds with fractions. Where they tell the time they count from 1970; a driver's time never runs back.
type Seconds = float64

// Conn names a connection within one machine's life. The driver numbers accepted ones from 1 on; a machine numbers
// those it dials itself, with Dialled set, so that it knows the number before the connection stands.
type Conn uint64

// Dialled marks the connections that the machine opened.
const Dialled Conn = 1 << 63

// Kind tells what an input is.
type Kind uint8

const (
	Opened  Kind = iota // a connection stands: one accepted at Door, or one that was dialled
	Data                // bytes came on Conn
	Closed              // Conn is gone, or could not be opened; Why says so. Nothing more comes of it
	Told                // an operator's or a script's word, in Text
	Kept                // all records up to batch N are durable
	NotKept             // the store is out of order, Text says why; a Kept later tells that it is not any more
)

// Input is one thing that came in.
type Input struct {
	Kind Kind
	Conn Conn
	Door int // of the machine's listening addresses, which one
	Data []byte
	Text string
	Ours bool // Closed: it could not be opened for want of something of our own, which says nothing of the other side
	N    uint64
}

// ActKind tells what an act is.
type ActKind uint8

const (
	Dial  ActKind = iota // open Conn to Addr
	Write                // send Data on Conn
	Close                // close Conn once what was written has gone; no Closed comes back for it
	Reset                // close Conn at once, whatever waits
)

// Act is one thing to do with a connection, in order.
type Act struct {
	Kind ActKind
	Conn Conn
	Addr string
	Data []byte
}

// Put is a record to be kept; without a value it is to be removed.
type Put struct {
	Key   string
	Value []byte
}

// Note is a line for the log: a message and pairs of key and value.
type Note struct {
	Level int // 0 debug, 1 info, 2 warning, 3 error
	Text  string
	Pairs []any
}

// Never is the time of what is not to happen.
const Never Seconds = 1e18

// Out gathers what a step wants done. The driver empties it between steps.
type Out struct {
	Acts  []Act
	Notes []Note
	Trace []trace.Record
	Saves map[string][]byte // files to be replaced whole, by name
	Puts  []Put             // records to be kept, all of them or none,
	Batch uint64            // under this number; 0: none
	Wake  Seconds           // the step after this comes no later
	Fail  string            // the machine is broken and must not be stepped again
	Stop  bool              // the machine is done and wants to end
}

// Reset empties it for the next step.
func (o *Out) Reset() {
	*o = Out{Acts: o.Acts[:0], Notes: o.Notes[:0], Trace: o.Trace[:0], Wake: Never}
}

// Dial asks for a connection.
func (o *Out) Dial(c Conn, addr string) {
	o.Acts = append(o.Acts, Act{Kind: Dial, Conn: c, Addr: addr})
}

// Write sends bytes; the machine must not touch them again.
func (o *Out) Write(c Conn, data []byte) {
	o.Acts = append(o.Acts, Act{Kind: Write, Conn: c, Data: data})
}

// Close ends a connection after what was written.
func (o *Out) Close(c Conn) { o.Acts = append(o.Acts, Act{Kind: Close, Conn: c}) }

// Kill ends a connection at once.
func (o *Out) Kill(c Conn) { o.Acts = append(o.Acts, Act{Kind: Reset, Conn: c}) }

// At asks for a step at a time, if none comes sooner.
func (o *Out) At(t Seconds) { o.Wake = min(o.Wake, t) }

// Log adds a line to the log.
func (o *Out) Log(level int, text string, pairs ...any) {
	o.Notes = append(o.Notes, Note{level, text, pairs})
}

// Save has a file replaced whole.
func (o *Out) Save(name string, data []byte) {
	if o.Saves == nil {
		o.Saves = map[string][]byte{}
	}
	o.Saves[name] = data
}

// Keep has records kept. What became of them is told by Kept and NotKept.
func (o *Out) Keep(puts []Put, batch uint64) { o.Puts, o.Batch = puts, batch }

// Record adds a record to the trace.
func (o *Out) Record(r trace.Record) { o.Trace = append(o.Trace, r) }

// Machine is one party.
type Machine interface {
	// Step takes what came in since the last one, in order, at a time that never runs back.
	Step(now Seconds, in []Input, out *Out)
}
