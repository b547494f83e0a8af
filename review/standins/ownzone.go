package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ownZoneCase is the case of a zone that is lost with its proxies and comes back: the proxies join before the list shows the
// backends of their zone again.
func ownZoneCase(w *world) int {
	const (
		lostAt, listedLeft = 6.0, 11.0
		backAt, endAt      = 20.0, 50.0
		warmAfter          = 17.0
		limit              = 3.7 + 0.3 // the settings' and the protocol page's
		count              = 12
		kept               = "save-workbook" // the class that keeps to the proxy's zone
	)
	zones := []string{"jandakot", "malaga", "canning-vale"}
	home := zones[0] // the zone that is lost, with the coordinator
	classes := []string{"open-pack", kept, "lodge-assignment"}
	list := newDiscovery(w)
	n1 := &node{name: "n1", listen: freeAddress()}
	list.dials["n1"] = map[string]string{}
	var mu sync.Mutex
	up, zoneOf := map[string]bool{}, map[string]string{}
	byZone := map[string][]string{}
	var hosts []host
	for i := range 16 {
		name, zone := fmt.Sprintf("s-%02d", i), zones[i%3]
		up[name], zoneOf[name] = true, zone
		byZone[zone] = append(byZone[zone], name)
		hosts = append(hosts, host{Host: name, Site: zone, Class: "fast-box", Block: i / 4, Health: "active", Share: 1})
		list.dials["n1"][name] = serveProbes(func() bool { mu.Lock(); defer mu.Unlock(); return !up[name] })
	}
	list.set(hosts...)
	n1.discovery = list.serve("n1")
	settings := metro(zones, count)
	settings["FamilyInfo"].(map[string]any)["ClassOwnZone"] = []bool{false, true, false}
	n1.config = nodeConfig(n1, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, settings, list.known("n1"))
	w.startNode(n1)
	channels := map[string]*channel{"n1": {pace: 8200, delay: 200 * time.Millisecond, header: 10}}

	// Most proxies carry little traffic, one far more.
	rate := func(number int) float64 {
		if number == 0 {
			return 50
		}
		return 3
	}
	start := func(number int, standing []string) *proxy {
		p := newProxy(w, number, zones[number%3], rate(number), classes, standing)
		p.channels = channels
		if !p.join(n1) {
			fail("proxy %d cannot join", number)
		}
		w.log("proxy %d of zone %s starts and joins n1, its standing table is %v", number, p.zone, standing)
		return p
	}
	proxies := make([]*proxy, count)
	for i := range proxies {
		proxies[i] = start(i, byZone[zones[i%3]])
		time.Sleep(5 * time.Millisecond)
	}
	current := func(i int) *proxy { mu.Lock(); defer mu.Unlock(); return proxies[i] }
	for z, zone := range zones {
		c := &collector{zone: zone, node: n1}
		c.members = func() (all []*proxy) {
			for i := z; i < count; i += 3 {
				if p := current(i); p != nil {
					all = append(all, p)
				}
			}
			return all
		}
		go c.run(w, time.Second, 240)
	}

	answered, unanswered, bareSince, longest := 0, 0, map[int]float64{}, map[int]float64{}
	// warmListed tells since when a coordinator's list shows an open backend of the lost zone that is warm; 0: it does not.
	warmListed := func(string) float64 { return 0 }
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for i := range proxies {
		traffic.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(time.Second) / rate(i))):
				}
				p := current(i)
				if p == nil {
					continue
				}
				class := classes[k%3]
				var without []string // a backend of another zone is none for the class that keeps to the proxy's zone
				if class == kept {
					for name, zone := range zoneOf {
						if zone != p.zone {
							without = append(without, name)
						}
					}
				}
				name := p.pick(class, without...)
				mu.Lock()
				ok := name != "" && up[name]
				if class == kept && p.zone == home {
					switch {
					case ok:
						answered++
						w.log("proxy %d sends a request of %s to %s, which runs and answers it", i, class, name)
					case name != "":
						unanswered++
						w.log("proxy %d sends a request of %s to %s, which is down", i, class, name)
					default:
						unanswered++
						w.log("proxy %d refuses a request of %s: no line to pick", i, class)
					}
					from := warmListed(p.node)
					switch {
					case name != "" || from == 0:
						delete(bareSince, i)
					case bareSince[i] == 0:
						bareSince[i] = max(from, p.joinedAt)
						w.log("proxy %d has no line to pick for %s, while the list of %s shows warm backends of its zone since %.3f", i, class, p.node, from)
					default:
						longest[i] = max(longest[i], w.now()-bareSince[i])
					}
				}
				mu.Unlock()
				p.count(class, name, !ok)
			}
		})
	}
	if w.trouble {
		lost := byZone[home]
		w.sleepUntil(lostAt)
		mu.Lock()
		for _, name := range lost {
			up[name] = false
		}
		var dead []*proxy
		for i := 0; i < count; i += 3 {
			dead = append(dead, proxies[i])
			proxies[i] = nil
		}
		mu.Unlock()
		n1.kill()
		for _, p := range dead {
			p.leave()
		}
		w.log("zone %s is lost with its backends %v, its proxies and its coordinator", home, lost)
		w.sleepUntil(listedLeft)
		list.health("left", lost...)
		w.sleepUntil(backAt)
		born := float64(time.Now().UnixMilli())
		mu.Lock()
		for _, name := range lost {
			up[name] = true
		}
		warmListed = func(node string) float64 {
			told, ok := list.toldAt(node, lost[0], "active", born)
			if from := max(told, backAt+warmAfter); ok && w.now() >= from {
				return from
			}
			return 0
		}
		mu.Unlock()
		w.log("zone %s is back: its backends are cold, its coordinator has its last list, its proxies start with a table of listed backends", home)
		random := rand.New(rand.NewPCG(3, 5))
		for _, name := range lost {
			entry := host{Host: name, Site: home, Class: "fast-box", Health: "active", Share: 1, BornMs: born}
			w.at(backAt+1.0+random.Float64(), func() { list.set(entry) })
		}
		w.startNode(n1)
		time.Sleep(540 * time.Millisecond)
		for i := range proxies {
			time.Sleep(20 * time.Millisecond)
			if i%3 != 0 {
				if p := current(i); !p.join(n1) {
					fail("proxy %d cannot join", i)
				}
				w.log("proxy %d of zone %s joins n1 again", i, zones[i%3])
				continue
			}
			p := start(i, []string{byZone[zones[1]][i%5], byZone[zones[2]][i%5], byZone[zones[1]][(i+1)%5]})
			mu.Lock()
			proxies[i] = p
			mu.Unlock()
		}
	}
	w.sleepUntil(endAt)
	close(stop)
	traffic.Wait()
	broken, worst := 0, 0.0
	for i := 0; i < count; i += 3 {
		p := current(i)
		p.mu.Lock()
		w.log("proxy %d of zone %s, joined to %s since %.3f, at the end: lines for %s: %v, for %s: %v, shut out: %v", i, p.zone, p.node, p.joinedAt,
			classes[0], p.tables[classes[0]].lines, kept, p.tables[kept].lines, p.outs)
		p.mu.Unlock()
		if longest[i] > limit {
			broken++
			worst = max(worst, longest[i])
			w.log("BROKEN: proxy %d had no line to pick for %s for %.3f s; the limit is %.1f s", i, kept, longest[i], limit)
		}
	}
	text := fmt.Sprintf("proxies without a line for longer than the limit: %d of 4, for up to %.1f s; requests of that class in that zone: %d answered, %d not",
		broken, worst, answered, unanswered)
	w.log("%s", text)
	fmt.Println(text)
	if broken > 0 {
		return 1
	}
	return 0
}
