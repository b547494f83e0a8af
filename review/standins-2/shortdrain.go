package main

import (
	"context"
	"math/rand/v2"
	"time"
)

func init() { cases["short-drain"] = shortDrain }

// shortDrain: six in ten servers are replaced within 7 s, on a site where only draining binds. The list shows some of them as
// draining only shortly before it shows them as gone.
func shortDrain(recordPath string) (int, error) {
	w, err := newWorld("drain")
	if err != nil {
		return 2, err
	}
	w.onlyDraining = true
	w.addFleet(7, 3, 0.6)
	return w.play(recordPath, func(context.Context) {
		time.Sleep(10 * time.Second)
		if w.trouble {
			w.replaceAll(12, 7*time.Second, 4)
		} else {
			time.Sleep(7 * time.Second)
		}
		time.Sleep(15 * time.Second)
	}), nil
}

// replaceAll replaces servers one by one, within a time. Each drains for 3.3 s. The list shows the draining and the end of a server
// 1.7 to 4.8 s late; for the last ones the draining latest, so that it shows them as draining for a quarter of a second.
func (w *world) replaceAll(count int, within time.Duration, last int) {
	const drain = 3300 * time.Millisecond
	names := append([]string{}, w.serverOrder...)
	for i, k := range rand.Perm(len(names))[:count] {
		former := w.servers[names[k]]
		drainLate, goneLate := 2*time.Second, 2500*time.Millisecond
		if i >= count-last {
			drainLate, goneLate = 4750*time.Millisecond, 1700*time.Millisecond
		}
		time.AfterFunc(drainLate, func() { w.discovery.health(former.name, "leaving") })
		time.AfterFunc(drain, former.die)
		time.AfterFunc(drain+goneLate, func() { w.discovery.health(former.name, "left") })
		successor := w.addServer(former.zone)
		if err := successor.start(time.Now()); err != nil {
			w.record.cannotRun(err)
			return
		}
		time.AfterFunc(1200*time.Millisecond, func() { w.discovery.set(successor.entry("active")) })
		time.Sleep(within / time.Duration(count))
	}
}
