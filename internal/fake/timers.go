package fake

import (
	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
)

// timers holds callbacks by due time. Callbacks that are due at the same time run in the order in which they were set.
type timers struct {
	pending eventqueue.Queue[func(now statemachine.Seconds)]
}

// schedule sets a callback. One that is never due is dropped.
func (t *timers) schedule(when statemachine.Seconds, callback func(now statemachine.Seconds)) {
	if when < statemachine.Never {
		t.pending.Push(when, callback)
	}
}

// runDue runs the callbacks that are due, including those that are set meanwhile.
func (t *timers) runDue(now statemachine.Seconds) {
	for at, ok := t.pending.NextTime(); ok && at <= now; at, ok = t.pending.NextTime() {
		t.pending.Pop()(now)
	}
}

// requestWakeup asks the driver for a step when the next callback is due.
func (t *timers) requestWakeup(out *statemachine.Effects) {
	if at, ok := t.pending.NextTime(); ok {
		out.WakeBy(at)
	}
}
