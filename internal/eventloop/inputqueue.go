package eventloop

import (
	"sync"

	"gingerfork/internal/statemachine"
)

// Received data waits for the machine in a buffer for each connection, and the connections take turns: a step handles at most
// maxStepBytes, and of each connection about an equal part. So a connection that sends much or expensive data delays its own data, not that
// of others. Reading from a connection pauses while its buffer is full or its peer doesn't read the answers; TCP then slows
// the sender down.
const (
	maxStepBytes        = 128 << 10 // bytes of received data that one step handles
	maxStepTurns        = 256       // connections of which one step handles something
	minTurnBytes        = 2 << 10   // least part of one connection, and what its turn may exceed maxStepBytes by
	minConnectionBuffer = 4 << 10   // bytes that each connection may have waiting, however many connections there are
	maxConnectionBuffer = 64 << 10  // bytes that one connection may have waiting
)

// connectionInput holds what the machine was not passed yet of a connection. It is guarded by Loop.mu.
type connectionInput struct {
	opened       bool     // ConnOpened waits
	data         [][]byte // received data, oldest first
	pendingBytes int      // of data
	closed       bool     // ConnClosed waits; it is passed after all data
	closeReason  string
	localFailure bool       // as in Input.LocalFailure
	ready        bool       // the connection is in Loop.ready
	discarded    bool       // the machine closed the connection, so that nothing more is read
	ended        bool       // the socket is closed
	room         *sync.Cond // on Loop.mu; signaled when data was taken or sent, or the connection is closed
}

// waits reports whether anything waits for the machine.
func (i *connectionInput) waits() bool { return i.opened || i.pendingBytes > 0 || i.closed }

// drop discards the received data.
func (i *connectionInput) drop() { i.data, i.pendingBytes = nil, 0 }

// takeData removes up to limit bytes of the received data and appends them to inputs.
func (i *connectionInput) takeData(conn statemachine.Conn, limit int, inputs []statemachine.Input) []statemachine.Input {
	for limit > 0 && len(i.data) > 0 {
		data := i.data[0]
		if len(data) > limit {
			data = data[:limit:limit]
			i.data[0] = i.data[0][limit:]
		} else {
			i.data[0] = nil
			i.data = i.data[1:]
		}
		limit -= len(data)
		i.pendingBytes -= len(data)
		inputs = append(inputs, statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: data})
	}
	return inputs
}

// SendCommand passes a command from an operator or a script to the machine, as an input of kind OperatorCommand.
func (l *Loop) SendCommand(text string) {
	l.queueInput(statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
}

// queueInput queues an input that belongs to no connection.
func (l *Loop) queueInput(input statemachine.Input) {
	l.mu.Lock()
	l.otherInputs = append(l.otherInputs, input)
	l.mu.Unlock()
	l.wakeMachine()
}

// RunBetweenSteps queues run to be called on the machine's goroutine between two steps. It is the only safe way to call
// methods of the machine while the loop runs. It does not wait for the call; once the loop has ended, run is not called.
func (l *Loop) RunBetweenSteps(run func()) {
	l.mu.Lock()
	l.functions = append(l.functions, run)
	l.mu.Unlock()
	l.wakeMachine()
}

// wakeMachine ends a wait of the machine's goroutine for work.
func (l *Loop) wakeMachine() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// markReady queues a connection that has something for the machine. The caller holds mu.
func (l *Loop) markReady(conn *connection) {
	if !conn.input.ready {
		conn.input.ready = true
		l.ready = append(l.ready, conn)
	}
}

// discardInput discards what waits of a connection that the machine has closed, and ends its reading.
func (l *Loop) discardInput(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.input.discarded = true
	conn.input.drop()
}

// queueData queues data that was received on a connection.
func (l *Loop) queueData(conn *connection, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.input.discarded {
		return
	}
	conn.input.data = append(conn.input.data, data)
	conn.input.pendingBytes += len(data)
	l.markReady(conn)
	l.wakeMachine()
}

// connectionBuffer returns how many received bytes of one connection may wait, and how many unsent ones it may have while it is read:
// an equal part of MaxPendingInput, within bounds. The caller holds mu.
func (l *Loop) connectionBuffer() int {
	share := l.config.MaxPendingInput / max(l.connectionCount, 1)
	return max(minConnectionBuffer, min(share, maxConnectionBuffer))
}

// awaitRoom waits until a connection may be read, and returns how many bytes of it, or 0 if the connection is closed.
func (l *Loop) awaitRoom(conn *connection) (room int, paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for input := &conn.input; !input.ended; input.room.Wait() {
		limit := l.connectionBuffer()
		if !input.discarded && input.pendingBytes < limit && conn.output.unsentLength() <= limit {
			return limit - input.pendingBytes, paused
		}
		if !paused && !input.discarded {
			l.stats.ReadPauses++
		}
		paused = true
	}
	return 0, paused
}

// signalRoom has the reader of a connection check whether it may read again.
func (l *Loop) signalRoom(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.input.room.Signal()
}

// takeInputs calls the functions that are queued, and appends the inputs of the next step to inputs: all that belong to no connection, and
// those of the connections in turns. It runs on the machine's goroutine.
func (l *Loop) takeInputs(inputs []statemachine.Input) []statemachine.Input {
	for _, run := range l.takeFunctions() {
		run()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	budget, count := maxStepBytes, min(len(l.ready), maxStepTurns)
	turn := max(minTurnBytes, maxStepBytes/max(count, 1))
	taken := 0
	for ; taken < count && budget > 0; taken++ {
		conn := l.ready[taken]
		l.ready[taken] = nil
		before := conn.input.pendingBytes
		inputs = l.takeTurn(conn, turn, inputs)
		budget -= before - conn.input.pendingBytes
		if conn.input.ready = conn.input.waits(); conn.input.ready {
			l.ready = append(l.ready, conn)
		}
	}
	if l.ready = l.ready[taken:]; len(l.ready) == 0 {
		l.ready = nil
	}
	inputs = append(inputs, l.otherInputs...)
	l.otherInputs = nil
	return inputs
}

// takeTurn appends the next inputs of a connection, with at most the given number of bytes. The caller holds mu.
func (l *Loop) takeTurn(conn *connection, limit int, inputs []statemachine.Input) []statemachine.Input {
	input := &conn.input
	if input.opened {
		input.opened = false
		if conn.released { // the machine closed or aborted the dial meanwhile
			_ = conn.tcp.Close() // nothing was sent on it
			input.discarded, input.ended = true, true
			input.room.Signal()
		} else {
			conn.opened = true
			l.connections[conn.id] = conn
			inputs = append(inputs, statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn.id, Listener: conn.listener})
		}
	}
	if !conn.released {
		inputs = input.takeData(conn.id, limit, inputs)
		input.room.Signal()
	}
	if input.closed && input.pendingBytes == 0 {
		input.closed = false
		delete(l.connections, conn.id)
		if !conn.released {
			inputs = append(inputs, statemachine.Input{
				Kind: statemachine.ConnClosed, Conn: conn.id, Text: input.closeReason, LocalFailure: input.localFailure,
			})
		}
	}
	return inputs
}

// takeFunctions returns the functions that are to run between two steps, and forgets them.
func (l *Loop) takeFunctions() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	functions := l.functions
	l.functions = nil
	return functions
}

// hasWork reports whether anything waits for the machine.
func (l *Loop) hasWork() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ready)+len(l.otherInputs)+len(l.functions) > 0
}
