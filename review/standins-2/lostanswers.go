package main

import (
	"context"
	"time"
)

func init() { cases["lost-answers"] = lostAnswers }

// lostAnswers: the answers of discovery get lost for less than 5 s, as it begins to tell that three servers drain.
func lostAnswers(recordPath string) (int, error) {
	w, err := newWorld("drain")
	if err != nil {
		return 2, err
	}
	w.addFleet(5, 3, 0.68)
	return w.play(recordPath, func(context.Context) {
		time.Sleep(10 * time.Second)
		<-w.discovery.waits
		time.Sleep(4 * time.Second) // the wait takes 5 s
		road := w.coordinators[0].road
		if w.trouble {
			w.record.say("answers of discovery get lost")
			road.lose(true)
		}
		var names []string
		for i := range w.zones {
			s := w.servers[w.serverOrder[5*i]]
			names = append(names, s.name)
			time.AfterFunc(4300*time.Millisecond, s.die) // it drains for 6 s; the list is 1.7 s late
		}
		w.discovery.healthAll(names, "leaving")
		time.Sleep(4750 * time.Millisecond)
		road.lose(false)
		w.record.say("answers of discovery arrive")
		time.Sleep(10 * time.Second)
	}), nil
}
