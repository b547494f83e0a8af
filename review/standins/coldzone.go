package main

import (
	"fmt"
	"sync"
	"time"
)

// coldServer is a backend whose capacity grows evenly from the cold share to the full one after its start.
type coldServer struct {
	name, zone string
	up, fallen bool
	startedAt  float64 // 0: long ago
	bornMs     float64
	work       []arrival // what it was sent within the window
}

type arrival struct {
	at      float64
	knowing bool // the proxy's last message was sent with knowledge of the start
}

// coldZoneCase is the case of a zone that comes back cold.
func coldZoneCase(w *world) int {
	const (
		rate                  = 8.5 // requests a second that a warm backend can serve
		zoneLoad              = 0.65
		coldShare, warmAfter  = 0.18, 17.0
		multiple, window      = 3.0, 2.0
		slack                 = 3.0 // requests, for chance
		lostAt, listedLeft    = 8.0, 12.0
		backAt, endAt         = 20.0, 32.0
		firstListed, listedBy = 0.9, 2.1 // after the return
	)
	zones := []string{"malaga", "canning-vale", "jandakot"}
	classes := []string{"open-pack", "save-workbook", "lodge-assignment"}
	list := newDiscovery(w)
	n1 := &node{name: "n1", listen: freeAddress()}
	list.dials["n1"] = map[string]string{}
	var mu sync.Mutex
	servers := map[string]*coldServer{}
	byZone := map[string][]string{}
	var hosts []host
	for i := range 16 {
		zone := zones[2]
		if i >= 4 {
			zone = zones[i%2]
		}
		name := fmt.Sprintf("s-%02d", i)
		servers[name] = &coldServer{name: name, zone: zone, up: true}
		byZone[zone] = append(byZone[zone], name)
		hosts = append(hosts, host{Host: name, Site: zone, Class: "fast-box", Block: i / 4, Health: "active", Share: 1})
		list.dials["n1"][name] = serveProbes(func() bool { mu.Lock(); defer mu.Unlock(); return !servers[name].up })
	}
	list.set(hosts...)
	n1.discovery = list.serve("n1")
	n1.config = nodeConfig(n1, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, metro(zones, 12), list.known("n1"))
	w.startNode(n1)

	channels := map[string]*channel{"n1": {pace: 8200, delay: 200 * time.Millisecond, header: 10}}
	var proxies []*proxy
	perProxy := map[string]float64{}
	for _, zone := range zones {
		perProxy[zone] = zoneLoad * rate * float64(len(byZone[zone])) / 4
	}
	for i := range 12 {
		zone := zones[i%3]
		p := newProxy(w, i, zone, perProxy[zone], classes, byZone[zone])
		p.channels = channels
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
		go c.run(w, time.Second, 320)
	}

	broken := false
	refused, served := 0, 0
	worst := 0.0 // the most that a cold backend was sent within the window, as a share of its budget without the slack
	sendOne := func(p *proxy, class string) {
		name := p.pick(class)
		if name == "" {
			p.count(class, "", false)
			mu.Lock()
			refused++
			mu.Unlock()
			return
		}
		p.mu.Lock()
		sentAt := p.sentAt
		p.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		to := servers[name]
		p.count(class, name, !to.up)
		if to.up {
			served++
		}
		if to.startedAt == 0 || !to.up && !to.fallen {
			return
		}
		now := w.now()
		told, ok := list.toldAt("n1", name, "active", to.bornMs)
		knowing := ok && (sentAt >= told || now >= told+2.0)
		to.work = append(to.work, arrival{now, knowing})
		for len(to.work) > 0 && to.work[0].at <= now-window {
			to.work = to.work[1:]
		}
		withKnowledge := 0
		for _, one := range to.work {
			if one.knowing {
				withKnowledge++
			}
		}
		share := min(1, coldShare+(1-coldShare)*(now-to.startedAt)/warmAfter)
		budget := multiple*rate*share*window + slack
		worst = max(worst, float64(len(to.work))/(budget-slack))
		w.log("proxy %d sends to %s, cold: capacity %.2f of its full one, %d requests in the last %.1f s, %d of them with knowledge; it falls over above %.1f",
			p.number, name, share, len(to.work), window, withKnowledge, budget)
		if share < 1 && to.up && float64(len(to.work)) > budget {
			to.up, to.fallen = false, true
			if 3*withKnowledge >= 2*len(to.work) {
				broken = true
				w.log("BROKEN: %s falls over %.3f s after its start and stays down", name, now-to.startedAt)
			}
		}
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for i, p := range proxies {
		traffic.Go(func() {
			pause := time.Duration(float64(time.Second) / perProxy[p.zone])
			time.Sleep(pause * time.Duration(i) / 12)
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for k := i; ; k++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					sendOne(p, classes[k%3])
				}
			}
		})
	}
	if w.trouble {
		lost := byZone[zones[2]]
		w.sleepUntil(lostAt)
		mu.Lock()
		for _, name := range lost {
			servers[name].up = false
		}
		mu.Unlock()
		w.log("all backends of zone %s are lost: %v", zones[2], lost)
		w.sleepUntil(listedLeft)
		list.health("left", lost...)
		w.sleepUntil(backAt)
		born := float64(time.Now().UnixMilli())
		mu.Lock()
		for _, name := range lost {
			servers[name].up, servers[name].startedAt, servers[name].bornMs = true, w.now(), born
		}
		mu.Unlock()
		w.log("they come back, cold")
		for k, name := range lost {
			after := firstListed
			if k > 0 {
				after = listedBy - 0.05*float64(k)
			}
			entry := host{Host: name, Site: zones[2], Class: "fast-box", Block: 0, Health: "active", Share: 1, BornMs: born}
			w.at(backAt+after, func() { list.set(entry) })
		}
	}
	w.sleepUntil(endAt)
	close(stop)
	traffic.Wait()
	fallen := 0
	for _, one := range servers {
		if one.fallen {
			fallen++
		}
	}
	text := fmt.Sprintf("backends that fell over: %d; the most sent to a cold one within %.1f s: %.2f of the limit; requests: %d sent to backends that were up, %d refused",
		fallen, window, worst, served, refused)
	w.log("%s", text)
	fmt.Println(text)
	if broken {
		return 1
	}
	return 0
}
