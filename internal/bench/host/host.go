// Package host runs instances of the decision module for the simulator. It distributes the events of each batch to the
// instances and collects their commands. The instances share no state, only the process.
package host

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"gingerfork/choice"
	"gingerfork/internal/bench/wire"
)

const (
	// maxLists is the limit on the endpoint lists that wire.DefineList has defined at once. The simulator reuses their
	// numbers, which are below this limit.
	maxLists   = 16
	bufferSize = 1 << 20 // of the input and of the output, in bytes each
)

// Values of wire.FieldError.Problem for fields that are well-formed.
var (
	errOutOfRange      = errors.New("is out of range")
	errUndefinedList   = errors.New("names an undefined list")
	errUnknownInstance = errors.New("names an unknown instance")
	errUnknownMethod   = errors.New("names an unknown method")
)

// Host holds the running instances and the defined endpoint lists.
type Host struct {
	instances map[string]*instance   // by coordinator name
	lists     [maxLists]endpointList // by the number of the list
}

// endpointList holds the endpoint list that wire.DefineList has defined under one number, if any.
type endpointList struct {
	endpoints []choice.Endpoint
	defined   bool
}

// New returns a host without instances.
func New() *Host { return &Host{instances: map[string]*instance{}} }

// Run processes a batch for each line of in, and writes its reply to out as one line, until in ends. It returns the first
// error.
func Run(in io.Reader, out io.Writer) error {
	host := New()
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	for batch := 1; ; batch++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if err := host.respond(line, writer); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
	}
}

// respond processes one batch, and writes and flushes its reply.
func (h *Host) respond(line []byte, writer *bufio.Writer) error {
	reply, err := h.Answer(line)
	if err != nil {
		return err
	}
	if _, err := writer.Write(reply); err != nil {
		return err
	}
	return writer.Flush()
}

// Answer processes one batch and returns its reply, a line.
func (h *Host) Answer(line []byte) ([]byte, error) {
	batch, err := wire.Decode(line)
	if err != nil {
		return nil, err
	}
	var order []string // names of the instances that have events, in the order of their first ones
	for i, event := range batch.Events {
		newInBatch, err := h.distribute(batch.Now, event)
		if err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
		if newInBatch != "" {
			order = append(order, newInBatch)
		}
	}
	replies := make([]wire.Reply, 0, len(order))
	for _, name := range order {
		if instance := h.instances[name]; instance != nil && instance.queued {
			instance.queued = false
			replies = append(replies, wire.Reply{Coordinator: name, Commands: instance.step(batch.Now)})
		}
	}
	return wire.Encode(replies)
}

// distribute applies an event to the host or queues it for its instance. It returns the name of the instance if this is its
// first event in the batch, and an empty string otherwise.
func (h *Host) distribute(now choice.Seconds, event wire.Event) (newInBatch string, err error) {
	switch body := event.Body.(type) {
	case wire.DefineList:
		return "", h.defineList(body)
	case wire.StartInstance:
		h.instances[event.Coordinator] = startInstance(now, body)
	}
	instance := h.instances[event.Coordinator]
	if instance == nil {
		return "", fieldError("event", "CoordinatorId", errUnknownInstance, event.Coordinator)
	}
	if !instance.queued {
		instance.queued = true
		newInBatch = event.Coordinator
	}
	if _, stop := event.Body.(wire.StopInstance); stop {
		// The events that are still queued for the instance are dropped with it.
		delete(h.instances, event.Coordinator)
		return newInBatch, nil
	}
	return newInBatch, h.queue(instance, event.Body)
}

// defineList stores an endpoint list under its number, in place of an earlier one.
func (h *Host) defineList(list wire.DefineList) error {
	if list.Number < 0 || list.Number >= maxLists {
		return fieldError("Catalog", "Table", errOutOfRange, list.Number)
	}
	h.lists[list.Number] = endpointList{endpoints: list.Endpoints, defined: true}
	return nil
}

// queue adds an event to those of the instance's next step. It already replaces list numbers by the endpoints, because numbers
// are reused, even within a batch.
func (h *Host) queue(instance *instance, body any) error {
	switch body := body.(type) {
	case wire.StartInstance:
		return nil
	case wire.EndpointUpdate:
		update, err := h.resolve(body)
		if err != nil {
			return err
		}
		instance.events = append(instance.events, update)
	case wire.UsageReport:
		method, err := instance.method("Traffic", body.Method)
		if err != nil {
			return err
		}
		body.Report.Method = method
		instance.events = append(instance.events, body.Report)
	case wire.SliceReport:
		method, err := instance.method("RangeLoad", body.Method)
		if err != nil {
			return err
		}
		body.Report.Method = method
		instance.events = append(instance.events, body.Report)
	default:
		instance.events = append(instance.events, body)
	}
	return nil
}

// resolve returns an endpoint update with the endpoints of the list whose number it has.
func (h *Host) resolve(update wire.EndpointUpdate) (choice.EndpointUpdate, error) {
	resolved := choice.EndpointUpdate{Kind: update.Kind, Version: update.Version}
	if update.Kind == choice.UpdateFailed {
		return resolved, nil
	}
	if update.ListNumber < 0 || update.ListNumber >= maxLists || !h.lists[update.ListNumber].defined {
		return resolved, fieldError("Members", "Table", errUndefinedList, update.ListNumber)
	}
	resolved.Endpoints = h.lists[update.ListNumber].endpoints
	return resolved, nil
}

// fieldError returns an error for a field of an event that is well-formed but can't be used.
func fieldError(event, field string, problem error, value any) error {
	return &wire.FieldError{Event: event, Field: field, Problem: problem, Value: fmt.Sprint(value)}
}
