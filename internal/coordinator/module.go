package coordinator

import (
	"fmt"
	"runtime/debug"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// moduleFailure says that the decision module panicked or returned a command that is not known here. The step in progress
// must be discarded as a whole, because its commands would be carried out in part.
type moduleFailure struct {
	cause any
	stack []byte // of the panic; empty for an unknown command
}

func (f *moduleFailure) Error() string { return fmt.Sprintf("the decision module failed: %v", f.cause) }

// decideIfDue lets the decision module take a step if its timer fired, or if events are pending and its last step was long
// enough ago.
func (c *controller) decideIfDue(now choice.Seconds) error {
	timerFired := now >= c.timerAt
	eventsDue := len(c.pendingEvents) > 0 && now >= c.lastStepAt+c.stepInterval
	if !timerFired && !eventsDue {
		return nil
	}
	if timerFired {
		c.pendingEvents = append(c.pendingEvents, choice.TimerFired{Timer: c.timer})
		c.timerAt = now + maxWakeDelay
	}
	if err := c.decide(now); err != nil {
		return err
	}
	c.sendQueued(now)
	return nil
}

// decide lets the decision module take a step and carries out its commands.
func (c *controller) decide(now choice.Seconds) error {
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

// callModule turns a panic of the decision module into an error.
func (c *controller) callModule(now choice.Seconds, events []choice.Event) (commands []choice.Command, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &moduleFailure{cause: r, stack: debug.Stack()}
		}
	}()
	return c.planner.Step(now, events), nil
}

// execute carries out one command.
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
		// The module sets one timer at a time and looks at the clock itself, so the soonest one is enough.
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
