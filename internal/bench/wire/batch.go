// Package wire is the JSON codec for the simulator. It converts between the simulator's names and milliseconds and the types
// and seconds of package choice. Names in string literals and struct tags are those of the simulator.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"gingerfork/choice"
)

const (
	coordinatorPrefix     = "coordinator/"
	millisecondsPerSecond = 1000
)

// Batch is one line of input: the events of one moment.
type Batch struct {
	Now    choice.Seconds // time of all events
	Events []Event
}

// Event is one event of a batch. Body is one of the types of this package or a choice.Event.
type Event struct {
	Coordinator string // name of the instance that the event is for; empty for DefineList
	Body        any
}

// errNotBatch is the error for a line that does not have the form of a batch.
var errNotBatch = errors.New("not a batch")

// Decode decodes one line of input.
func Decode(line []byte) (Batch, error) {
	var message struct {
		Now    *float64                      `json:"TMs"`
		Events *[]map[string]json.RawMessage `json:"happened"`
	}
	err := json.Unmarshal(line, &message)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		return Batch{}, fmt.Errorf("%w: field %s %w", errNotBatch, typeErr.Field, ErrMalformed)
	case err != nil:
		return Batch{}, fmt.Errorf("%w: %w", errNotBatch, err)
	case message.Now == nil:
		return Batch{}, fmt.Errorf("%w: field TMs %w", errNotBatch, ErrMissing)
	case message.Events == nil:
		return Batch{}, fmt.Errorf("%w: field happened %w", errNotBatch, ErrMissing)
	}
	batch := Batch{Now: *message.Now / millisecondsPerSecond}
	for i, fields := range *message.Events {
		event, err := decodeEvent(fields)
		if err != nil {
			return batch, fmt.Errorf("event %d: %w", i, err)
		}
		batch.Events = append(batch.Events, event)
	}
	return batch, nil
}

// decodeEvent decodes an object whose only key is the name of the event and whose value is an object with its fields.
func decodeEvent(object map[string]json.RawMessage) (Event, error) {
	if len(object) != 1 {
		return Event{}, fmt.Errorf("object has %d keys, 1 expected", len(object))
	}
	for name, raw := range object {
		return decodeNamedEvent(name, raw)
	}
	return Event{}, nil // not reached
}

// decodeNamedEvent decodes an event from its name and the object with its fields.
func decodeNamedEvent(name string, raw json.RawMessage) (Event, error) {
	decodeBody, ok := eventDecoders[name]
	if !ok {
		return Event{}, fmt.Errorf("unknown event %q", name)
	}
	fields := &fieldReader{event: name}
	if err := json.Unmarshal(raw, &fields.raw); err != nil {
		return Event{}, fmt.Errorf("%s: fields are not an object: %w", name, err)
	}
	var event Event
	if name != defineListEvent {
		event.Coordinator = fields.text("CoordinatorId")
		if !strings.HasPrefix(event.Coordinator, coordinatorPrefix) {
			fields.fail("CoordinatorId", ErrMalformed, event.Coordinator)
		}
	}
	event.Body = decodeBody(fields)
	return event, fields.err
}
