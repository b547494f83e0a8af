// Package wire is the JSON codec of the simulator: it turns the simulator's names and milliseconds into the types and seconds of
// package choice, and back. Names in quotes and in tags are the simulator's.
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
	Now    choice.Seconds
	Events []Event
}

// Event is one event of a batch. Body is one of the types of this package or a choice.Event.
type Event struct {
	Coordinator string // the instance that it is for; empty for a DefineList
	Body        any
}

// errNotBatch reports a line that is not a batch at all.
var errNotBatch = errors.New("not a batch")

// Decode reads one line of input.
func Decode(line []byte) (Batch, error) {
	var message struct {
		Now    *float64                      `json:"TMs"`
		Events *[]map[string]json.RawMessage `json:"happened"`
	}
	err := json.Unmarshal(line, &message)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped):
		return Batch{}, fmt.Errorf("%w: field %s %w", errNotBatch, mistyped.Field, ErrMalformed)
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

// decodeEvent reads an object whose only key is the event's name and whose value holds the event's fields.
func decodeEvent(object map[string]json.RawMessage) (Event, error) {
	if len(object) != 1 {
		return Event{}, fmt.Errorf("wants one key, has %d", len(object))
	}
	for name, raw := range object {
		return decodeNamedEvent(name, raw)
	}
	return Event{}, nil // not reached
}

func decodeNamedEvent(name string, raw json.RawMessage) (Event, error) {
	decodeBody, ok := eventDecoders[name]
	if !ok {
		return Event{}, fmt.Errorf("unknown event %q", name)
	}
	fields := &fieldReader{event: name}
	if err := json.Unmarshal(raw, &fields.raw); err != nil {
		return Event{}, fmt.Errorf("%s: its fields are not an object: %w", name, err)
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
