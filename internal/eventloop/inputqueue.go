package eventloop

import "gingerfork/internal/statemachine"

// queueEntry is one entry of the machine's queue: an input, or a function to run between two steps.
type queueEntry struct {
	input      statemachine.Input
	connection *connection // the connection that the input belongs to; nil: none
	run        func()      // if set, it is called and the other fields are unused
}

// SendCommand passes a command from an operator or a script to the machine, as an input of kind OperatorCommand.
func (l *Loop) SendCommand(text string) {
	l.enqueue(queueEntry{input: statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}})
}

// RunBetweenSteps queues run to be called on the machine's goroutine between two steps. It is the only safe way to call
// methods of the machine while the loop runs. It does not wait for the call; once the loop has ended, run is not called.
func (l *Loop) RunBetweenSteps(run func()) { l.enqueue(queueEntry{run: run}) }

// enqueue adds an entry to the machine's queue. While the queued data exceeds MaxPendingInput, a caller with data blocks:
// the blocked event loop stops reading, the kernel's receive buffers fill up, and TCP slows the senders down.
func (l *Loop) enqueue(entry queueEntry) {
	l.mu.Lock()
	for l.queuedBytes > l.config.MaxPendingInput && len(entry.input.Data) > 0 && !l.stopping {
		l.spaceFreed.Wait()
	}
	l.queue = append(l.queue, entry)
	l.queuedBytes += len(entry.input.Data)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// takeQueue returns all queued entries and replaces the queue with an empty one that uses the memory of reuse.
func (l *Loop) takeQueue(reuse []queueEntry) []queueEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.queue
	l.queue = reuse[:0]
	l.queuedBytes = 0
	l.spaceFreed.Broadcast()
	return taken
}

// collectInputs calls the functions among the queue entries and appends the inputs to inputs. Inputs of connections that
// the machine has closed or aborted are dropped.
func (l *Loop) collectInputs(entries []queueEntry, inputs []statemachine.Input) []statemachine.Input {
	for _, entry := range entries {
		switch {
		case entry.run != nil:
			entry.run()
		case entry.connection == nil || l.trackConnection(entry.connection, entry.input.Kind):
			inputs = append(inputs, entry.input)
		}
	}
	return inputs
}

// trackConnection updates the state of a connection for an input of the given kind, and reports whether the input is to be
// passed to the machine.
func (l *Loop) trackConnection(conn *connection, kind statemachine.InputKind) bool {
	switch kind {
	case statemachine.ConnOpened:
		if conn.released {
			l.closeUnwanted(conn)
			return false
		}
		conn.opened = true
		l.connections[conn.id] = conn
	case statemachine.ConnClosed:
		delete(l.connections, conn.id)
	}
	return !conn.released
}

// closeUnwanted closes a connection that was opened after the machine had closed or aborted its dial.
func (l *Loop) closeUnwanted(conn *connection) {
	// submit fails only while the event loops are being stopped, which closes all connections.
	_ = l.submit(connectionTask{connection: conn, kind: statemachine.ActionClose})
}
