package main

import (
	"fmt"
	"sync"
	"time"
)

// repeatCase is the case of a repeat that comes after the backends have forgotten the request's key.
func repeatCase(w *world) int {
	const (
		class                = "save-draft"
		aim, deadline        = 1.2, 6.0
		stretch, ownWork     = 15.0, 0.28 // the aim is extended by stretch times the request's own work
		tryAims              = 0.8
		window               = 4.0
		hangFrom, hangUntil  = 6.0, 14.0
		lastRequest, endedAt = 16.0, 23.0
		hung                 = "s-0"
	)
	zones := []string{"dc-bunbury", "dc-northam", "dc-welshpool"}
	classes := []string{"open-task", class, "submit-final"}
	list := newDiscovery(w)
	n1 := &node{name: "n1", listen: freeAddress()}
	list.dials["n1"] = map[string]string{}
	hanging := func(name string) bool {
		now := w.now()
		return w.trouble && name == hung && now >= hangFrom && now < hangUntil
	}
	var hosts []host
	var names []string
	for i := range 8 {
		name := fmt.Sprintf("s-%d", i)
		names = append(names, name)
		hosts = append(hosts, host{Host: name, Site: zones[i%3], Class: "std-4core", Block: i / 4, Health: "active", Share: 1})
		list.dials["n1"][name] = serveProbes(func() bool { return hanging(name) })
	}
	list.set(hosts...)
	n1.discovery = list.serve("n1")
	settings := regional(zones, zones[0], 0, 1, 6)
	draft := settings["Profiles"].([]any)[1].(map[string]any)
	draft["AimMs"], draft["DeadlineMs"], draft["RepeatWindowMs"], draft["AimStretch"] = aim*1000, deadline*1000, window*1000, stretch
	n1.config = nodeConfig(n1, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, settings, list.known("n1"))
	w.startNode(n1)

	// The backends: each remembers a key, with all others, for the window after the first try was sent.
	var mu sync.Mutex
	firstSent, effects := map[int]float64{}, map[int][]string{}
	execute := func(id int, name string) {
		mu.Lock()
		defer mu.Unlock()
		if len(effects[id]) > 0 && w.now() <= firstSent[id]+window {
			w.log("request %d at %s: a repeat, dropped", id, name)
			return
		}
		effects[id] = append(effects[id], name)
		w.log("request %d takes effect at %s, effect %d", id, name, len(effects[id]))
	}
	outside, worst := 0, 0.0
	channels := map[string]*channel{"n1": {pace: 2400, delay: 200 * time.Millisecond, header: 6}}
	var proxies []*proxy
	for i := range 6 {
		p := newProxy(w, i, zones[i%3], 4, classes, names)
		p.usualHow, p.channels = 1, channels
		if !p.join(n1) {
			fail("proxy %d cannot join", i)
		}
		proxies = append(proxies, p)
	}
	for _, zone := range zones {
		c := &collector{zone: zone, node: n1}
		for _, p := range proxies {
			if p.zone == zone {
				c.proxies = append(c.proxies, p)
			}
		}
		go c.run(w, time.Second, ownWork*1000)
	}

	// try sends one try and returns whether an answer came within the time.
	try := func(p *proxy, id int, name string, wait float64) bool {
		w.log("request %d: proxy %d sends it to %s", id, p.number, name)
		began := w.now()
		time.Sleep(time.Duration(ownWork * float64(time.Second)))
		execute(id, name)
		for hanging(name) && w.now() < began+wait { // the work is done, but the backend answers nothing
			time.Sleep(10 * time.Millisecond)
		}
		answered := !hanging(name) && w.now() < began+wait
		p.count(class, name, !answered)
		return answered
	}
	request := func(p *proxy, id int) {
		name := p.pick(class)
		if name == "" {
			w.log("request %d: proxy %d has no backend", id, p.number)
			return
		}
		p.mu.Lock()
		retry := p.tables[class].retry
		p.mu.Unlock()
		began := w.now()
		mu.Lock()
		firstSent[id] = began
		mu.Unlock()
		wait := deadline
		if retry >= 2 { // a try that may be followed waits this long
			wait = tryAims * min(aim+stretch*ownWork, deadline)
		}
		if try(p, id, name, wait) {
			w.log("request %d is answered", id)
			return
		}
		w.log("request %d: no answer from %s after %.3f s; the ordered way of trying again is %d", id, name, w.now()-began, retry)
		if retry < 2 {
			return
		}
		other := p.pick(class, name)
		if other == "" {
			return
		}
		if after := w.now() - began; after > window {
			mu.Lock()
			outside, worst = outside+1, max(worst, after)
			mu.Unlock()
			w.log("BROKEN: request %d is sent again %.3f s after the first try, which may have executed; the window is %.1f s", id, after, window)
		}
		if try(p, id, other, began+deadline-w.now()) {
			w.log("request %d is answered", id)
		}
	}
	var work sync.WaitGroup
	w.sleepUntil(4)
	for id := 1; w.now() < lastRequest; id++ {
		work.Go(func() { request(proxies[id%len(proxies)], id) })
		time.Sleep(100 * time.Millisecond)
	}
	work.Wait()
	w.sleepUntil(endedAt)
	twice := 0
	for id, at := range effects {
		if len(at) > 1 {
			twice++
			w.log("BROKEN: request %d took effect %d times, at %v", id, len(at), at)
		}
	}
	fmt.Printf("repeats outside the window: %d, the latest %.3f s after the first try; requests that took effect twice: %d of %d\n",
		outside, worst, twice, len(effects))
	w.log("repeats outside the window: %d, requests that took effect twice: %d of %d", outside, twice, len(effects))
	if outside > 0 || twice > 0 {
		return 1
	}
	return 0
}
