package coordinator

import (
	"fmt"
	"runtime/debug"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// moduleFailure is returned if the decision module panicked or returned a command of an unknown type. The step in progress
// must be discarded as a whole, because otherwise only a part of its commands would be carried out.
type moduleFailure struct {
	cause any    // value of the panic, or the text for an unknown command
	stack []byte // stack of the panic; empty for an unknown command
}

func (f *moduleFailure) Error() string { return fmt.Sprintf("the decision module failed: %v", f.cause) }

// stepModuleIfDue lets the decision module take a step if its timer fired, or if events are pending and its last step was
// long enough ago.
func (c *controller) stepModuleIfDue(now choice.Seconds) error {
	timerFired := now >= c.timerAt
	eventsDue := len(c.pendingEvents) > 0 && now >= c.lastStepAt+c.stepInterval
	if !timerFired && !eventsDue {
		return nil
	}
	if timerFired {
		c.pendingEvents = append(c.pendingEvents, choice.TimerFired{Timer: c.timer})
		c.timerAt = now + maxWakeDelay
	}
	if err := c.stepModule(now); err != nil {
		return err
	}
	c.sendQueued(now)
	return nil
}

// stepModule lets the decision module take a step and carries out its commands.
func (c *controller) stepModule(now choice.Seconds) error {
	events := c.pendingEvents
	c.pendingEvents = nil
	c.step++
	c.lastStepAt = now
	c.stats.Steps++
	commands, err := c.callModule(now, events)
	if err != nil {
		return err
	}
	var nonce *choice.SetNonce
	for _, command := range commands {
		if set, ok := command.(choice.SetNonce); ok {
			nonce = &set
			continue
		}
		if err := c.execute(command); err != nil {
			return err
		}
	}
	if nonce != nil && nonce.All {
		for subscriber := range c.distributor.Subscribers() {
			c.distributor.MarkDirty(subscriber)
		}
	}
	c.queuePushes(now, nonce)
	return nil
}

// callModule lets the decision module take a step, and turns a panic in it into an error.
func (c *controller) callModule(now choice.Seconds, events []choice.Event) (commands []choice.Command, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &moduleFailure{cause: r, stack: debug.Stack()}
		}
	}()
	return c.planner.Step(now, events), nil
}

// execute carries out one command of the decision module.
func (c *controller) execute(command choice.Command) error {
	switch command := command.(type) {
	case choice.WatchEndpoints:
		c.result.watch = &proto.WatchEndpoints{On: command.On, SinceVersion: c.endpoints.watchVersion()}
	case choice.FetchEndpoints:
		c.result.fetch = true
	case choice.ProbeBackend:
		if listed := c.endpoints.backends[command.Backend]; listed != nil {
			c.result.probes = append(c.result.probes, probeTarget{command.Backend, listed.Addr})
		}
	case choice.SetTimer:
		// The module sets one timer at a time and checks the time itself, so only the earliest request is kept.
		if command.At < c.timerAt {
			c.timerAt, c.timer = command.At, command.Timer
		}
	case choice.SendToPeer:
		c.result.peerMessages = append(c.result.peerMessages, command)
	case choice.LogMessage:
		c.result.logMessages = append(c.result.logMessages, command.Text)
	default:
		if !c.distributor.Apply(command) {
			return &moduleFailure{cause: fmt.Sprintf("unknown command type %T", command)}
		}
	}
	return nil
}
