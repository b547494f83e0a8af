package statemachine

// InputKind tells what an input reports.
type InputKind uint8

const (
	// ConnOpened reports that Conn is open: accepted on Listener, or dialed by the machine.
	ConnOpened InputKind = iota
	// ConnData reports that Data arrived on Conn.
	ConnData
	// ConnClosed reports that Conn was closed by its peer or by the driver, or could not be opened; Text gives the reason.
	// It is the last input about Conn, and does not come for one that the machine closed or aborted itself.
	ConnClosed
	// OperatorCommand carries a command of an operator or a script, in Text.
	OperatorCommand
	// Persisted reports that the mutations of all batches up to Batch are durable. It also ends the state that
	// PersistFailed reported.
	Persisted
	// PersistFailed reports that mutations are not being persisted; Text gives the reason.
	PersistFailed
)

// Input is one event that a driver hands to a machine. Which fields are set depends on Kind; the others are zero.
type Input struct {
	// Kind is set in every input.
	Kind InputKind
	// Conn is the connection that ConnOpened, ConnData or ConnClosed is about.
	Conn Conn
	// Listener is set by ConnOpened of an accepted connection: the index of the address that it was accepted on, in the
	// order in which the driver was given the addresses. 0 when the connection was dialed.
	Listener int
	// Data is set by ConnData: the bytes that arrived, at least one. They belong to the machine.
	Data []byte
	// Text is set by OperatorCommand (the command), ConnClosed and PersistFailed (the reason, for logs).
	Text string
	// LocalFailure is set by ConnClosed when the connection could not be opened for want of a local resource, such as a
	// descriptor. Such a failure says nothing about the peer.
	LocalFailure bool
	// Batch is set by Persisted: the number that the machine gave the batch in Effects.Persist.
	Batch uint64
}
