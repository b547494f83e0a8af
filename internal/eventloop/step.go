package eventloop

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"time"

	"gingerfork/internal/statemachine"
)

// maxTimerWait limits a single wait for the machine's timer, in seconds; a longer wait is split into several.
const maxTimerWait statemachine.Seconds = 3600

// runMachine steps the machine until the loop is stopped, or the machine stops or fails. It runs on the goroutine that owns
// the machine, here called the machine's goroutine.
func (l *Loop) runMachine() {
	defer l.shutDown()
	effects := &statemachine.Effects{}
	effects.Reset()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var inputs []statemachine.Input
	for l.ctx.Err() == nil {
		inputs = l.takeInputs(inputs[:0])
		now := l.config.Clock.Now()
		// The first step runs immediately, without inputs: before it WakeAt is Never.
		if len(inputs) > 0 || now >= effects.WakeAt || effects.WakeAt == statemachine.Never {
			if ended := l.step(now, inputs, effects); ended {
				return
			}
			clear(inputs) // release the data now, not only when the slots are reused
		}
		// On a single processor this goroutine and the reader of a busy connection would otherwise wake each other in turns, and the
		// scheduler would leave other connections, which the network has made ready, waiting for up to a second.
		runtime.Gosched()
		if !l.hasWork() {
			l.waitForWork(timer, effects.WakeAt)
		}
	}
}

// step runs one step of the machine and applies its effects. It reports whether that was the last step.
func (l *Loop) step(now statemachine.Seconds, inputs []statemachine.Input, effects *statemachine.Effects) (ended bool) {
	effects.Reset()
	begin := time.Now()
	l.config.Machine.Step(now, inputs, effects)
	l.recordStep(len(inputs), time.Since(begin))
	if effects.Failure != "" {
		l.config.Log.Error("state machine failed", "cause", effects.Failure)
		l.err = fmt.Errorf("%w: %s", ErrMachineFailed, effects.Failure)
		return true
	}
	if err := l.applyEffects(effects); err != nil {
		l.config.Log.Error("effects of a step could not be applied", "cause", err)
	}
	return effects.Stop
}

// waitForWork waits for a queue entry, the machine's wake-up time, or the end of the loop.
func (l *Loop) waitForWork(timer *time.Timer, wakeAt statemachine.Seconds) {
	wait := min(max(wakeAt-l.config.Clock.Now(), 0), maxTimerWait)
	timer.Reset(time.Duration(wait * float64(time.Second)))
	select {
	case <-l.wake:
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// applyEffects carries out the effects of a step. The actions of each connection are carried out in order.
func (l *Loop) applyEffects(effects *statemachine.Effects) error {
	for _, action := range effects.Actions {
		l.applyAction(action)
	}
	l.flushOutputs()
	clear(effects.Actions) // release the data now, not only when the slots are reused
	for _, entry := range effects.LogEntries {
		l.config.Log.Log(l.ctx, slogLevel(entry.Level), entry.Message, entry.Attributes...)
	}
	if effects.Batch > 0 && l.persister != nil {
		l.persister.enqueue(effects.Mutations, effects.Batch)
	}
	if l.config.Trace != nil && len(effects.Trace) > 0 {
		l.config.Trace(effects.Trace)
	}
	if l.config.Dir == "" {
		return nil
	}
	for name, data := range effects.Files {
		if err := replaceFile(filepath.Join(l.config.Dir, name), data); err != nil {
			return err
		}
	}
	return nil
}

// slogLevel returns the slog level for a machine's log level.
func slogLevel(level statemachine.LogLevel) slog.Level {
	switch level {
	case statemachine.LogDebug:
		return slog.LevelDebug
	case statemachine.LogInfo:
		return slog.LevelInfo
	case statemachine.LogWarning:
		return slog.LevelWarn
	default:
		return slog.LevelError
	}
}
