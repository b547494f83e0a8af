package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"gingerfork/choice"
)

// What can be wrong with a field, as the Problem of a FieldError.
var (
	ErrMissing      = errors.New("is missing")
	ErrMalformed    = errors.New("is mistyped")
	ErrUnknownValue = errors.New("has an unknown value")
)

// FieldError reports a field of an event that can't be used.
type FieldError struct {
	Event   string
	Field   string
	Problem error
	Value   string // empty for a missing field
}

func (e *FieldError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%s: field %s %v", e.Event, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: field %s %v: %s", e.Event, e.Field, e.Problem, e.Value)
}

// Unwrap returns the Problem.
func (e *FieldError) Unwrap() error { return e.Problem }

// fieldReader reads the fields of one event and keeps the first error; after it all fields read as zero.
type fieldReader struct {
	event string
	raw   map[string]json.RawMessage
	err   error
}

func (f *fieldReader) fail(field string, problem error, value string) {
	if f.err == nil {
		f.err = &FieldError{Event: f.event, Field: field, Problem: problem, Value: value}
	}
}

// optional reads a field into the variable that target points to, and leaves that as it is if there is no such field.
func (f *fieldReader) optional(field string, target any) {
	raw, ok := f.raw[field]
	if f.err != nil || !ok || string(raw) == "null" {
		return
	}
	if json.Unmarshal(raw, target) != nil {
		f.fail(field, ErrMalformed, string(raw))
	}
}

func (f *fieldReader) required(field string, target any) {
	if raw, ok := f.raw[field]; !ok || string(raw) == "null" {
		f.fail(field, ErrMissing, "")
		return
	}
	f.optional(field, target)
}

// seconds reads a time that the simulator gives in milliseconds.
func (f *fieldReader) seconds(field string) (milliseconds choice.Seconds) {
	f.required(field, &milliseconds)
	return milliseconds / millisecondsPerSecond
}

func (f *fieldReader) optionalSeconds(field string) (milliseconds choice.Seconds) {
	f.optional(field, &milliseconds)
	return milliseconds / millisecondsPerSecond
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

// flag reads a flag that is off by default.
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

// oneOf reads a word and returns what it stands for.
func oneOf[T any](f *fieldReader, field string, meanings map[string]T) T {
	word := f.text(field)
	meaning, ok := meanings[word]
	if !ok {
		f.fail(field, ErrUnknownValue, word)
	}
	return meaning
}
