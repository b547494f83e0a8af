package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"gingerfork/choice"
)

// Values of Problem in a FieldError.
var (
	ErrMissing      = errors.New("is missing")
	ErrMalformed    = errors.New("is malformed")
	ErrUnknownValue = errors.New("has an unknown value")
)

// FieldError is the error for a field of an event that is missing or can't be used.
type FieldError struct {
	Event   string // name of the event, and of the list in the event if the field is in one
	Field   string // name of the field on the wire
	Problem error
	Value   string // value of the field as received; empty for a missing field
}

func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: field %s %v", e.Event, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: field %s %v: %s", e.Event, e.Field, e.Problem, e.Value)
}

// Unwrap returns the Problem.
func (e *FieldError) Unwrap() error { return e.Problem }

// fieldReader decodes the fields of one event and keeps the first error. After an error all further fields are zero.
type fieldReader struct {
	event string
	raw   map[string]json.RawMessage // by field name
	err   error
}

// fail records an error unless there is an earlier one.
func (f *fieldReader) fail(field string, problem error, value string) {
	if f.err == nil {
		f.err = &FieldError{Event: f.event, Field: field, Problem: problem, Value: value}
	}
}

// optional decodes a field into the variable that target points to. If there is no such field, the variable stays as it is.
func (f *fieldReader) optional(field string, target any) {
	raw, ok := f.raw[field]
	if f.err != nil || !ok || string(raw) == "null" {
		return
	}
	if json.Unmarshal(raw, target) != nil {
		f.fail(field, ErrMalformed, string(raw))
	}
}

// required is like optional, but a missing field is an error.
func (f *fieldReader) required(field string, target any) {
	if raw, ok := f.raw[field]; !ok || string(raw) == "null" {
		f.fail(field, ErrMissing, "")
		return
	}
	f.optional(field, target)
}

// seconds decodes a required time in milliseconds and converts it to seconds.
func (f *fieldReader) seconds(field string) (value choice.Seconds) {
	f.required(field, &value)
	return value / millisecondsPerSecond
}

// optionalSeconds decodes a time in milliseconds and converts it to seconds. If there is no such field, the time is 0.
func (f *fieldReader) optionalSeconds(field string) (value choice.Seconds) {
	f.optional(field, &value)
	return value / millisecondsPerSecond
}

func (f *fieldReader) number(field string) (value float64) {
	f.required(field, &value)
	return value
}

func (f *fieldReader) integer(field string) (value int64) {
	f.required(field, &value)
	return value
}

func (f *fieldReader) count(field string) int { return int(f.integer(field)) }

// flag decodes a flag. If there is no such field, the flag is false.
func (f *fieldReader) flag(field string) (value bool) {
	f.optional(field, &value)
	return value
}

func (f *fieldReader) text(field string) (value string) {
	f.required(field, &value)
	return value
}

func (f *fieldReader) backend() (value choice.BackendID) {
	f.required("Backend", &value)
	return value
}

func (f *fieldReader) load() (value []float64) {
	f.optional("Gauge", &value)
	return value
}

func (f *fieldReader) proxy() choice.ProxyID { return choice.ProxyID(f.integer("Sidecar")) }

func (f *fieldReader) slice() choice.SliceID { return choice.SliceID(f.integer("RouteTable")) }

func (f *fieldReader) zone() choice.Zone { return choice.Zone(f.text("FailureDomain")) }

// oneOf decodes a required text and returns the value that stands for it in the map.
func oneOf[T any](f *fieldReader, field string, values map[string]T) T {
	text := f.text(field)
	value, ok := values[text]
	if !ok {
		f.fail(field, ErrUnknownValue, text)
	}
	return value
}
