package eventloop

import "gingerfork/internal/statemachine"

// message is one entry of the queue in front of the machine: an input, or a function to be run between two steps.
type message struct {
	input      statemachine.Input
	connection *connection // the connection that the input is about; nil: none
	run        func()      // when set, it is run and the other fields are unused
}

// SendCommand hands the machine an operator's or a script's command, as an input of the kind OperatorCommand.
func (l *Loop) SendCommand(text string) {
	l.enqueue(message{input: statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}})
}

// RunBetweenSteps has run called on the machine's goroutine, between two steps. It is the only safe way to call methods of
// the machine while the loop runs. It does not wait for the call; after the end of the loop there is none.
func (l *Loop) RunBetweenSteps(run func()) { l.enqueue(message{run: run}) }

// enqueue adds a message for the machine. While more bytes wait than MaxPendingInput allows, whoever brings data is blocked:
// an event loop that does not read fills the kernel's buffers, and so the senders are slowed down.
func (l *Loop) enqueue(m message) {
	l.mu.Lock()
	for l.queuedBytes > l.config.MaxPendingInput && len(m.input.Data) > 0 && !l.stopping {
		l.spaceFreed.Wait()
	}
	l.queue = append(l.queue, m)
	l.queuedBytes += len(m.input.Data)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// takeQueue returns all waiting messages and leaves an empty queue in the memory of reuse.
func (l *Loop) takeQueue(reuse []message) []message {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.queue
	l.queue = reuse[:0]
	l.queuedBytes = 0
	l.spaceFreed.Broadcast()
	return taken
}

// receive runs the functions among the messages and appends the machine's inputs to inputs. Nothing is handed on about
// connections that the machine has closed.
func (l *Loop) receive(messages []message, inputs []statemachine.Input) []statemachine.Input {
	for _, m := range messages {
		switch {
		case m.run != nil:
			m.run()
		case m.connection == nil || l.receiveFrom(m.connection, m.input.Kind):
			inputs = append(inputs, m.input)
		}
	}
	return inputs
}

// receiveFrom follows the state of a connection, and tells whether the machine is handed the input.
func (l *Loop) receiveFrom(conn *connection, kind statemachine.InputKind) bool {
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

// closeUnwanted closes a connection that opened after the machine had given up its dial.
func (l *Loop) closeUnwanted(conn *connection) {
	// It fails only when the event loops are being stopped, which closes all connections.
	_ = l.submit(connectionTask{connection: conn, kind: statemachine.ActionClose})
}
