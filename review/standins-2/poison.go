package main

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poison }

// poison: one report arrives spoilt, with tries far out of range. Later a zone whose classes stay in it loses its servers, which
// come back cold.
func poison(recordPath string) (int, error) {
	w, err := newWorld("failback")
	if err != nil {
		return 2, err
	}
	w.ownZone = []bool{true, true}
	w.addFleet(5, 3, 0.68)
	spoils := os.Getenv("SPOIL") != "0" // SPOIL=0 plays the loss of the zone alone
	var spoilt atomic.Bool
	w.spoil = func(text string) string {
		if !w.trouble || !spoils || w.record.seconds() < 8 || spoilt.Swap(true) {
			return text
		}
		words := strings.Fields(text)
		for i, word := range words {
			if strings.HasPrefix(word, "tries=") {
				words[i] = "tries=9000000"
			}
		}
		text = strings.Join(words, " ")
		w.record.say("spoilt report: %s", text)
		return text
	}
	return w.play(recordPath, func(context.Context) {
		time.Sleep(14 * time.Second)
		if w.trouble {
			if err := w.loseServers(w.zones[1], 12*time.Second); err != nil {
				w.record.cannotRun(err)
				return
			}
		} else {
			time.Sleep(12 * time.Second)
		}
		time.Sleep(24 * time.Second)
	}), nil
}

// loseServers has a zone's servers die, and start again cold. The list is late, for each server a little differently.
func (w *world) loseServers(zone string, length time.Duration) error {
	lost := w.zoneServers(zone)
	for i, s := range lost {
		s.die()
		late := 1700*time.Millisecond + time.Duration(i)*700*time.Millisecond // 1.7 to 4.8 s
		time.AfterFunc(late, func() { w.discovery.health(s.name, "left") })
	}
	time.Sleep(length)
	for i, s := range lost {
		if err := s.start(time.Now()); err != nil {
			return err
		}
		w.record.say("%s started again, cold", s.name)
		late := 830*time.Millisecond + time.Duration(i)*300*time.Millisecond // 0.83 to 2.1 s
		time.AfterFunc(late, func() { w.discovery.set(s.entry("active")) })
	}
	return nil
}
