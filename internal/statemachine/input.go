package statemachine

// InputKind is the kind of an Input.
type InputKind uint8

const (
	// ConnOpened reports that Conn is open: accepted on Listener, or dialed by the machine.
	ConnOpened InputKind = iota
	// ConnData reports that Data arrived on Conn.
	ConnData
	// ConnClosed reports that Conn was closed by its peer or by the driver, or could not be opened; Text gives the reason.
	// It is the last input for Conn. It is not sent for a connection that the machine itself closed or aborted.
	ConnClosed
	// OperatorCommand carries a command from an operator or a script in Text.
	OperatorCommand
	// Persisted reports that the mutations of all batches up to and including Batch are durable. After PersistFailed it
	// also reports that persisting works again.
	Persisted
	// PersistFailed reports that mutations are currently not persisted; Text gives the reason.
	PersistFailed
)

// Input is one event that a driver passes to a machine. Kind determines which fields are set; the others are zero.
type Input struct {
	// Kind is set in every input.
	Kind InputKind
	// Conn is the connection; set for ConnOpened, ConnData and ConnClosed.
	Conn Conn
	// Listener is the index of the listen address that the connection was accepted on, in the order of the driver's
	// configuration; set for ConnOpened. 0 if the connection was dialed.
	Listener int
	// Data holds the received bytes, at least one; set for ConnData. The machine owns it.
	Data []byte
	// Text is the command for OperatorCommand, and the reason, for logs, for ConnClosed and PersistFailed.
	Text string
	// LocalFailure is set for ConnClosed if the connection could not be opened because a local resource, such as a file
	// descriptor, was exhausted. Such a failure says nothing about the peer.
	LocalFailure bool
	// Batch is the batch number that the machine passed to Effects.Persist; set for Persisted.
	Batch uint64
}
