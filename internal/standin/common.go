// Package standin has small parties to run a coordinator against: front ends that follow tables, servers, a list
// service, relays that hinder what passes. All are machines: they run on sockets and in virtual time alike. They write
// the trace that the rule checker reads. None is meant for service.
package standin

import (
	"container/heap"
	"hash/crc32"

	"gingerfork/internal/machine"
)

// Seed makes a seed out of one and a name.
func Seed(of uint64, name string) uint64 {
	return of<<32 ^ uint64(crc32.ChecksumIEEE([]byte(name)))
}

// timers is a heap of what is due when; equal times go by the order in which they were set.
type timers struct {
	all   []due
	count uint64
}

type due struct {
	at   machine.Seconds
	n    uint64
	what func(now machine.Seconds)
}

func (t *timers) Len() int { return len(t.all) }
func (t *timers) Less(i, j int) bool {
	return t.all[i].at < t.all[j].at || t.all[i].at == t.all[j].at && t.all[i].n < t.all[j].n
}
func (t *timers) Swap(i, j int) { t.all[i], t.all[j] = t.all[j], t.all[i] }
func (t *timers) Push(x any)    { t.all = append(t.all, x.(due)) }
func (t *timers) Pop() any {
	x := t.all[len(t.all)-1]
	t.all[len(t.all)-1] = due{}
	t.all = t.all[:len(t.all)-1]
	return x
}

func (t *timers) at(when machine.Seconds, what func(now machine.Seconds)) {
	if when < machine.Never {
		t.count++
		heap.Push(t, due{when, t.count, what})
	}
}

// ring does what is due.
func (t *timers) ring(now machine.Seconds) {
	for len(t.all) > 0 && t.all[0].at <= now {
		heap.Pop(t).(due).what(now)
	}
}

func (t *timers) wake(out *machine.Out) {
	if len(t.all) > 0 {
		out.At(t.all[0].at)
	}
}
