package host

import (
	"fmt"

	"gingerfork/choice"
	"gingerfork/internal/bench/wire"
)

// instance is one instance of the decision module.
type instance struct {
	planner *choice.Planner
	methods map[string]choice.MethodID // by name
	events  []choice.Event             // for the next step
	queued  bool                       // it takes part in the current batch
	failure string                     // why it can't go on; empty while it can
}

func startInstance(now choice.Seconds, start wire.StartInstance) *instance {
	config := choice.Config{Seed: start.Seed, Now: now, Settings: choice.DecodeSettings(start.Settings)}
	started := &instance{methods: map[string]choice.MethodID{}}
	for number, method := range config.Settings.Methods {
		started.methods[method.Name] = choice.MethodID(number)
	}
	started.recoverPanic(func() { started.planner = choice.New(config) })
	return started
}

// method returns the number of a method; event is the name of the event that names the method.
func (in *instance) method(event, name string) (choice.MethodID, error) {
	number, ok := in.methods[name]
	if !ok {
		return 0, fieldError(event, "Category", errUnknownMethod, name)
	}
	return number, nil
}

// step gives the module the queued events and returns its commands.
func (in *instance) step(now choice.Seconds) (commands []choice.Command) {
	events := in.events
	in.events = nil
	in.recoverPanic(func() { commands = in.planner.Step(now, events) })
	if in.failure != "" {
		return []choice.Command{wire.InstanceFailed{Text: in.failure}}
	}
	return commands
}

// recoverPanic calls the module unless it has failed before. A panic fails the instance; the process and the other instances go on.
func (in *instance) recoverPanic(call func()) {
	if in.failure != "" {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			in.failure = fmt.Sprintf("the decision module failed: %v", reason)
		}
	}()
	call()
}
