// Package fake has small parties to run a coordinator against: front ends that follow tables, servers, a list
// service, relays that hinder what passes. All are machines: they run on sockets and in virtual time alike. They write
// the trace that the rule checker reads. None is meant for service.
package fake

import (
	"hash/crc32"

	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
)

// Seed makes a seed out of one and a name.
func DeriveSeed(of uint64, name string) uint64 {
	return of<<32 ^ uint64(crc32.ChecksumIEEE([]byte(name)))
}

// timers are what is due when; equal times go by the order in which they were set.
type timers struct {
	eventqueue.Queue[func(now statemachine.Seconds)]
}

func (t *timers) at(when statemachine.Seconds, what func(now statemachine.Seconds)) {
	if when < statemachine.Never {
		t.Push(when, what)
	}
}

// ring does what is due.
func (t *timers) ring(now statemachine.Seconds) {
	for at, ok := t.NextTime(); ok && at <= now; at, ok = t.NextTime() {
		t.Pop()(now)
	}
}

func (t *timers) wake(out *statemachine.Effects) {
	if at, ok := t.NextTime(); ok {
		out.WakeBy(at)
	}
}
