package main

import (
	"context"
	"os"
	"time"
)

func init() { cases["hung-warm"] = hungWarm }

// hungWarm: six in ten servers are replaced within 7 s, while one server hangs. The classes stay in their zone, and the server that
// hangs is the only one of its zone that isn't replaced.
func hungWarm(recordPath string) (int, error) {
	w, err := newWorld("failback")
	if err != nil {
		return 2, err
	}
	w.ownZone = []bool{true, true}
	w.addFleet(5, 3, 0.68)
	return w.play(recordPath, func(context.Context) {
		time.Sleep(10 * time.Second)
		if !w.trouble {
			time.Sleep(30 * time.Second)
			return
		}
		zone := w.zoneServers(w.zones[1])
		if os.Getenv("HANG") != "0" { // HANG=0 plays the replacement alone
			zone[0].hang(true)
			w.record.say("%s hangs", zone[0].name)
		}
		time.Sleep(6 * time.Second)
		replaced := append(append([]*server{}, zone[1:]...), w.zoneServers(w.zones[2])...)
		for _, former := range replaced { // 9 of 15
			w.replace(former)
			time.Sleep(7 * time.Second / time.Duration(len(replaced)))
		}
		time.Sleep(5 * time.Second)
		zone[0].hang(false) // after 18 s
		time.Sleep(12 * time.Second)
	}), nil
}

// replace has a server drain for 2 s and end, and starts its successor then. The list shows the draining 1.7 s late, the end 2.5 s
// late and the successor 1 s after its start.
func (w *world) replace(former *server) {
	time.AfterFunc(1700*time.Millisecond, func() { w.discovery.health(former.name, "leaving") })
	time.AfterFunc(4500*time.Millisecond, func() { w.discovery.health(former.name, "left") })
	successor := w.addServer(former.zone)
	time.AfterFunc(2*time.Second, func() {
		former.die()
		if err := successor.start(time.Now()); err != nil {
			w.record.cannotRun(err)
			return
		}
		w.record.say("%s started, cold, in place of %s", successor.name, former.name)
		time.AfterFunc(time.Second, func() { w.discovery.set(successor.entry("active")) })
	})
}
