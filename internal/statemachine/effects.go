package statemachine

import "gingerfork/internal/trace"

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionDial opens a connection to Addr and identifies it as Conn. Input ConnOpened or ConnClosed reports the result.
	ActionDial ActionKind = iota
	// ActionWrite sends Data on Conn.
	ActionWrite
	// ActionClose closes Conn after all written data has been sent. The machine gets no further input for Conn.
	ActionClose
	// ActionAbort closes Conn immediately and discards unsent data. The machine gets no further input for Conn.
	ActionAbort
)

// Action is one operation on a connection. A driver carries out the actions of a connection in order, and ignores actions
// on a connection that is closed or unknown.
type Action struct {
	// Kind is set in every action.
	Kind ActionKind
	// Conn is the connection. For ActionDial it is an unused number with the dialed bit set.
	Conn Conn
	// Addr is the address to dial, as host:port; set for ActionDial.
	Addr string
	// Data holds the bytes to send; set for ActionWrite. The driver owns it afterwards.
	Data []byte
}

// Mutation is one change to the machine's persistent key-value state.
type Mutation struct {
	// Key identifies the record.
	Key string
	// Value is the new value of the record; nil deletes the record.
	Value []byte
}

// LogLevel is the severity of a log entry.
type LogLevel = int

// Log levels, from least to most severe.
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
	// Message is a constant text; variable values go into Attributes.
	Message string
	// Attributes are alternating keys and values, as in log/slog.
	Attributes []any
}

// Effects collects the side effects that a step requests. The machine fills it, mostly through its methods; the driver
// carries the effects out after the step and calls Reset before the next one.
type Effects struct {
	// Actions are carried out in order; set by Dial, Write, Close and Abort.
	Actions []Action
	// LogEntries are logged in order; set by Log.
	LogEntries []LogEntry
	// Trace holds records for the driver's trace, if the driver writes one; set by Record.
	Trace []trace.Record
	// Files maps file names to new contents; set by SaveFile. Each file is replaced atomically.
	Files map[string][]byte
	// Mutations are persisted atomically, all or none; set by Persist.
	Mutations []Mutation
	// Batch is the number that the machine gives Mutations; set by Persist. It increases with each batch. 0: no mutations.
	Batch uint64
	// WakeAt is the time of the next step if no input causes an earlier one; set by WakeBy. Never: no timer.
	WakeAt Seconds
	// Failure, if not empty, is the reason why the machine cannot continue. The driver then carries out none of this
	// step's effects, saves and persists nothing of it, does not step the machine again and reports an error.
	Failure string
	// Stop reports that the machine has finished: the driver carries out this step's effects and ends without an error.
	Stop bool
}

// Reset clears the effects for the next step. It reuses the memory of Actions, LogEntries and Trace.
func (e *Effects) Reset() {
	*e = Effects{Actions: e.Actions[:0], LogEntries: e.LogEntries[:0], Trace: e.Trace[:0], WakeAt: Never}
}

// Dial opens a connection to addr (host:port), identified by the number conn that the machine has chosen.
func (e *Effects) Dial(conn Conn, addr string) {
	e.Actions = append(e.Actions, Action{Kind: ActionDial, Conn: conn, Addr: addr})
}

// Write sends data on a connection. The machine must not change or reuse data afterwards.
func (e *Effects) Write(conn Conn, data []byte) {
	e.Actions = append(e.Actions, Action{Kind: ActionWrite, Conn: conn, Data: data})
}

// Close closes a connection after all data written to it has been sent.
func (e *Effects) Close(conn Conn) {
	e.Actions = append(e.Actions, Action{Kind: ActionClose, Conn: conn})
}

// Abort closes a connection immediately and discards unsent data.
func (e *Effects) Abort(conn Conn) {
	e.Actions = append(e.Actions, Action{Kind: ActionAbort, Conn: conn})
}

// WakeBy requests a step at the given time at the latest. If it is called several times in a step, the earliest time wins.
func (e *Effects) WakeBy(at Seconds) { e.WakeAt = min(e.WakeAt, at) }

// Log adds an entry to the log; attributes are alternating keys and values.
func (e *Effects) Log(level LogLevel, message string, attributes ...any) {
	e.LogEntries = append(e.LogEntries, LogEntry{Level: level, Message: message, Attributes: attributes})
}

// SaveFile replaces a file atomically. The name is relative to the driver's directory.
func (e *Effects) SaveFile(name string, data []byte) {
	if e.Files == nil {
		e.Files = map[string][]byte{}
	}
	e.Files[name] = data
}

// Persist requests that mutations are persisted atomically as one batch. The batch number must be greater than that of the
// previous batch. Input Persisted or PersistFailed reports the result. A second call in the same step replaces the first.
func (e *Effects) Persist(mutations []Mutation, batch uint64) {
	e.Mutations, e.Batch = mutations, batch
}

// Record adds a record to the trace.
func (e *Effects) Record(record trace.Record) { e.Trace = append(e.Trace, record) }
