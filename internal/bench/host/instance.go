package host

import (
	"fmt"

	"gingerfork/choice"
	"gingerfork/internal/bench/wire"
)

// instance is one instance of the decision module, which acts for one simulated coordinator.
type instance struct {
	planner *choice.Planner
	methods map[string]choice.MethodID // by name
	events  []choice.Event             // for the instance's next step
	queued  bool                       // the instance has events in the current batch
	failure string                     // error message of the panic that ended the instance; empty if there was none
}

// startInstance creates an instance. A panic of the module fails the instance.
func startInstance(now choice.Seconds, start wire.StartInstance) *instance {
	config := choice.Config{Seed: start.Seed, Now: now, Settings: choice.DecodeSettings(start.Settings)}
	started := &instance{methods: map[string]choice.MethodID{}}
	for id, method := range config.Settings.Methods {
		started.methods[method.Name] = choice.MethodID(id)
	}
	started.recoverPanic(func() { started.planner = choice.New(config) })
	return started
}

// method returns the id of a method. The event is named in the error for an unknown method.
func (in *instance) method(event, name string) (choice.MethodID, error) {
	id, ok := in.methods[name]
	if !ok {
		return 0, fieldError(event, "Category", errUnknownMethod, name)
	}
	return id, nil
}

// step has the module process the queued events and returns its commands, or only InstanceFailed if the instance has failed.
func (in *instance) step(now choice.Seconds) (commands []choice.Command) {
	events := in.events
	in.events = nil
	in.recoverPanic(func() { commands = in.planner.Step(now, events) })
	if in.failure != "" {
		return []choice.Command{wire.InstanceFailed{Text: in.failure}}
	}
	return commands
}

// recoverPanic calls the function unless the instance has failed. A panic in it fails the instance; the process and the other
// instances continue.
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
