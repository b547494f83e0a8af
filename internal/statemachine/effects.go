package statemachine

import "gingerfork/internal/trace"

// ActionKind tells what is to be done with a connection.
type ActionKind uint8

const (
	// ActionDial opens a connection to Addr under the number Conn. ConnOpened or ConnClosed follows.
	ActionDial ActionKind = iota
	// ActionWrite sends Data on Conn.
	ActionWrite
	// ActionClose closes Conn after what was written has been sent. No input about Conn follows.
	ActionClose
	// ActionAbort closes Conn at once and discards what was not sent yet. No input about Conn follows.
	ActionAbort
)

// Action is one thing to be done with a connection. A driver does the actions of a connection in their order, and ignores
// those on a connection that is closed or unknown.
type Action struct {
	// Kind is set in every action.
	Kind ActionKind
	// Conn is the connection; for ActionDial it has the bit Dialed set and is not in use.
	Conn Conn
	// Addr is set by ActionDial: host and port.
	Addr string
	// Data is set by ActionWrite. It belongs to the driver from then on.
	Data []byte
}

// Mutation is one change to the machine's persisted state.
type Mutation struct {
	// Key names the record.
	Key string
	// Value is the new value of the record; nil removes the record.
	Value []byte
}

// LogLevel is the severity of a log entry.
type LogLevel = int

// The severities, from the least to the most severe.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogWarning
	LogError
)

// LogEntry is one entry for the log of the process.
type LogEntry struct {
	// Level is one of LogDebug to LogError.
	Level LogLevel
	// Message is a constant text.
	Message string
	// Attributes are keys and values in turn, as in log/slog.
	Attributes []any
}

// Effects collects what a step wants done. The machine fills it, mostly by its methods; the driver carries it out after the
// step and resets it before the next one.
type Effects struct {
	// Actions are done in their order; set by Dial, Write, Close and Abort.
	Actions []Action
	// LogEntries are logged in their order; set by Log.
	LogEntries []LogEntry
	// Trace holds records for the driver's trace, if it has one; set by Record.
	Trace []trace.Record
	// Files holds the new contents of files by name; set by SaveFile. Each is replaced atomically.
	Files map[string][]byte
	// Mutations are persisted together or not at all; set by Persist.
	Mutations []Mutation
	// Batch is the machine's number for Mutations; set by Persist. It grows from batch to batch; 0: no mutations.
	Batch uint64
	// WakeAt is the time of the next step, when no input causes an earlier one; set by WakeBy. Never: no timer.
	WakeAt Seconds
	// Failure, when not empty, says why the machine is broken. The driver carries out no action of this step, saves and
	// persists nothing of it, does not step the machine again and reports an error.
	Failure string
	// Stop says that the machine is finished: the driver carries out this step's effects and ends without an error.
	Stop bool
}

// Reset empties the effects for the next step and keeps the memory of the slices.
func (o *Effects) Reset() {
	*o = Effects{Actions: o.Actions[:0], LogEntries: o.LogEntries[:0], Trace: o.Trace[:0], WakeAt: Never}
}

// Dial opens a connection to addr, host and port, under a number that the machine has chosen.
func (o *Effects) Dial(conn Conn, addr string) {
	o.Actions = append(o.Actions, Action{Kind: ActionDial, Conn: conn, Addr: addr})
}

// Write sends data on a connection. The machine must not change or reuse data afterwards.
func (o *Effects) Write(conn Conn, data []byte) {
	o.Actions = append(o.Actions, Action{Kind: ActionWrite, Conn: conn, Data: data})
}

// Close closes a connection after what was written to it has been sent.
func (o *Effects) Close(conn Conn) {
	o.Actions = append(o.Actions, Action{Kind: ActionClose, Conn: conn})
}

// Abort closes a connection at once and discards what has not been sent.
func (o *Effects) Abort(conn Conn) {
	o.Actions = append(o.Actions, Action{Kind: ActionAbort, Conn: conn})
}

// WakeBy asks for a step at the given time at the latest. Of several calls in a step the earliest time counts.
func (o *Effects) WakeBy(at Seconds) { o.WakeAt = min(o.WakeAt, at) }

// Log adds an entry to the log; attributes are keys and values in turn.
func (o *Effects) Log(level LogLevel, message string, attributes ...any) {
	o.LogEntries = append(o.LogEntries, LogEntry{Level: level, Message: message, Attributes: attributes})
}

// SaveFile replaces a file atomically. The name is relative to the driver's folder.
func (o *Effects) SaveFile(name string, data []byte) {
	if o.Files == nil {
		o.Files = map[string][]byte{}
	}
	o.Files[name] = data
}

// Persist has mutations persisted as one batch, under a number above that of the last batch. Persisted or PersistFailed
// reports the result. A second call in the same step replaces the first.
func (o *Effects) Persist(mutations []Mutation, batch uint64) {
	o.Mutations, o.Batch = mutations, batch
}

// Record adds a record to the trace.
func (o *Effects) Record(record trace.Record) { o.Trace = append(o.Trace, record) }
