package fake

import (
	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
)

// timers holds callbacks by due time. Callbacks that are due at the same time run in the order in which they were scheduled.
type timers struct {
	pending eventqueue.Queue[func(now statemachine.Seconds)]
}

// schedule adds a callback. One with the due time Never is dropped.
func (t *timers) schedule(dueAt statemachine.Seconds, callback func(now statemachine.Seconds)) {
	if dueAt < statemachine.Never {
		t.pending.Push(dueAt, callback)
	}
}

// runDue runs the callbacks that are due, including those that these callbacks add.
func (t *timers) runDue(now statemachine.Seconds) {
	for at, ok := t.pending.NextTime(); ok && at <= now; at, ok = t.pending.NextTime() {
		t.pending.Pop()(now)
	}
}

// requestWakeup requests a step from the driver when the next callback is due.
func (t *timers) requestWakeup(out *statemachine.Effects) {
	if at, ok := t.pending.NextTime(); ok {
		out.WakeBy(at)
	}
}
