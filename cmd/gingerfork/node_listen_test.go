package main

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"gingerfork/internal/eventloop"
	"gingerfork/internal/statemachine"
)

// idleMachine is a state machine that does nothing.
type idleMachine struct{}

func (idleMachine) Step(statemachine.Seconds, []statemachine.Input, *statemachine.Effects) {}

// A predecessor that still holds the listen address at the start must not make the start fail: it is repeated until the
// address is free.
func TestListenWaitsForPredecessorsAddress(t *testing.T) {
	predecessor, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	attempts := 0
	start := func() (*eventloop.Loop, error) {
		loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: idleMachine{}, Listen: []string{predecessor.Addr().String()}})
		if attempts++; attempts == 2 {
			predecessor.Close()
		}
		return loop, err
	}
	loop, err := listenWhenFree(ctx, start)
	if err != nil || attempts != 3 {
		t.Fatalf("%d attempts and the error %v, want 3 attempts and no error", attempts, err)
	}
	defer func(started *eventloop.Loop) { started.Stop(); _ = started.Wait() }(loop)
	// SIGTERM during the wait ends the wait.
	loop, err = listenWhenFree(ctx, func() (*eventloop.Loop, error) { stop(); return nil, syscall.EADDRINUSE })
	if loop != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("after the end of the context: event loop %v, error %v, want context.Canceled", loop, err)
	}
}
