package main

import (
	"context"
	"os"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowd }

// crowd: two of three coordinators crash, and all proxies come to the third, which has descriptors for all of them. Then servers drain.
func crowd(recordPath string) (int, error) {
	w, err := newWorld("drain")
	if err != nil {
		return 2, err
	}
	w.sockets = 256
	w.addCoordinators(w.zones[1:]...)
	w.addFleet(10, 76, 0.68)
	for i, p := range w.proxies {
		for k := range w.coordinators {
			p.preferred = append(p.preferred, w.coordinators[(i+k)%3])
		}
	}
	return w.play(recordPath, func(context.Context) {
		time.Sleep(8 * time.Second)
		if w.trouble {
			if os.Getenv("CRASH") != "0" {
				w.coordinators[0].stop(syscall.SIGKILL)
				w.coordinators[1].stop(syscall.SIGKILL)
			}
			time.Sleep(time.Second)
			for _, s := range w.zoneServers(w.zones[0])[:6] {
				w.discovery.health(s.name, "leaving")
				time.AfterFunc(2*time.Second, s.die)
			}
			time.Sleep(7 * time.Second)
			if os.Getenv("CRASH") != "0" {
				for _, c := range w.coordinators[:2] {
					if err := c.start(c.known()); err != nil {
						w.record.cannotRun(err)
						return
					}
				}
			}
		} else {
			time.Sleep(8 * time.Second)
		}
		time.Sleep(8 * time.Second)
	}), nil
}
