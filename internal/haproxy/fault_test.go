package haproxy

import (
	"errors"
	"testing"
)

// TestFaultKinds checks that each text has one fault and that errors.Is finds its kind.
func TestFaultKinds(t *testing.T) {
	for text, kind := range map[string]error{
		"backend a\nserver x 1.1.1.1:1\nmode 'http":                         ErrSyntax,
		"backend a\nserver x 1.1.1.1:1 weight 257":                          ErrValue,
		"backend a\nserver x 1.1.1.1":                                       ErrValue,
		"backend a/b\nserver x 1.1.1.1:1":                                   ErrName,
		"backend a\nserver x/y 1.1.1.1:1":                                   ErrName,
		"backend a\nserver x 1.1.1.1:1\nserver x 1.1.1.2:1":                 ErrDuplicate,
		"frontend f\ndefault_backend b":                                     ErrUndefined,
		"backend a\nserver x 1.1.1.1:1\nmode \"${NO}\"":                     ErrUndefined,
		"backend a\nserver x 1.1.1.1:1 track y\nserver y 1.1.1.1:1 track x": ErrCycle,
		"frontend f\nserver x 1.1.1.1:1":                                    ErrMisplaced,
		"backend a\nmode tcp":                                               ErrNoServer,
		".alert no\nbackend a\nserver x 1.1.1.1:1":                          ErrAlert,
		"backend a\nserver x 1.1.1.1:+1":                                    ErrUnsupported,
	} {
		got := read(text)
		if len(got.Faults) != 1 || !errors.Is(got.Faults[0], kind) {
			t.Errorf("%q: got faults %v, want one of kind %q", text, got.Faults, kind)
		}
	}
}

// TestValueError checks that errors.As finds the value that a fault is about.
func TestValueError(t *testing.T) {
	got := read("backend a\nserver x 1.1.1.1:1 weight 257")
	if len(got.Faults) != 1 {
		t.Fatalf("got faults %v, want one", got.Faults)
	}
	var value *ValueError
	if !errors.As(got.Faults[0], &value) {
		t.Fatalf("%v does not wrap a ValueError", got.Faults[0])
	}
	if value.Value != "257" {
		t.Errorf("got value %q, want 257", value.Value)
	}
}

// TestServersErrors checks the errors of Import.Servers for files with a fault and for a pool that does not exist.
func TestServersErrors(t *testing.T) {
	_, err := read("backend a\nmode tcp").Servers("a")
	var faults FaultsError
	if !errors.As(err, &faults) || len(faults) != 1 || !errors.Is(err, ErrNoServer) {
		t.Errorf("got error %v, want a FaultsError with an ErrNoServer", err)
	}
	_, err = read("backend a\nserver x 1.1.1.1:1").Servers("b")
	if !errors.Is(err, ErrNoPool) {
		t.Errorf("got error %v, want ErrNoPool", err)
	}
}
