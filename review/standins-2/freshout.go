package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["fresh-out"] = freshOut }

// freshOut: a zone whose classes stay in it is lost with its proxies and the only coordinator, and comes back. Its proxies join
// while the list still lacks the zone's servers and are told to shut them out. Then the coordinator crashes and comes back with
// its last list.
func freshOut(recordPath string) (int, error) {
	w, err := newWorld("lost")
	if err != nil {
		return 2, err
	}
	w.ownZone = []bool{true, true}
	w.addFleet(5, 3, 0.68)
	w.warmAfter = 8300 * time.Millisecond
	return w.play(recordPath, func(context.Context) {
		time.Sleep(6 * time.Second)
		if w.trouble {
			if err := w.loseZoneThenCrash(w.zones[0]); err != nil {
				w.record.cannotRun(err)
				return
			}
		} else {
			time.Sleep(21 * time.Second)
		}
		time.Sleep(14 * time.Second)
	}), nil
}

func (w *world) loseZoneThenCrash(zone string) error {
	only, lost := w.coordinators[0], w.zoneServers(zone)
	proxies := w.zoneProxies(zone)
	// The zone is lost for 12 s, and the list is 2 s late.
	only.stop(syscall.SIGKILL)
	last := only.known()
	for _, p := range proxies {
		p.die()
	}
	for _, s := range lost {
		s.die()
	}
	time.Sleep(2 * time.Second)
	for _, s := range lost {
		w.discovery.health(s.name, "left")
	}
	time.Sleep(10 * time.Second)
	for _, s := range lost {
		if err := s.start(time.Now()); err != nil {
			return err
		}
	}
	if err := only.start(last); err != nil {
		return err
	}
	for _, p := range proxies {
		p.start()
	}
	time.Sleep(time.Second)
	// The coordinator crashes for 8 s. Meanwhile the list has the zone's servers again, 2 s after their start.
	only.stop(syscall.SIGKILL)
	last = only.known()
	time.Sleep(time.Second)
	for _, s := range lost {
		w.discovery.set(s.entry("active"))
	}
	time.Sleep(7 * time.Second)
	return only.start(last)
}
