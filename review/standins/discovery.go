package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// discovery serves the list of backends to all coordinators, each at an address of its own, so that the record can tell
// which coordinator was told what, and when.
type discovery struct {
	world *world

	mu      sync.Mutex
	changed *sync.Cond
	seq     int
	hosts   map[string]host
	order   []string
	since   map[string]int                // version in which a host last changed
	dials   map[string]map[string]string  // by coordinator and host: the address for its probes
	told    map[string]map[string]float64 // by coordinator and "host health": when that was written to the coordinator
}

func newDiscovery(w *world) *discovery {
	d := &discovery{
		world: w, seq: 40, hosts: map[string]host{}, since: map[string]int{}, dials: map[string]map[string]string{},
		told: map[string]map[string]float64{},
	}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// set changes entries of the list in one version.
func (d *discovery) set(entries ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, entry := range entries {
		if _, known := d.hosts[entry.Host]; !known {
			d.order = append(d.order, entry.Host)
		}
		d.hosts[entry.Host] = entry
		d.since[entry.Host] = d.seq
	}
	d.changed.Broadcast()
}

// health changes the health of hosts in one version.
func (d *discovery) health(state string, names ...string) {
	var entries []host
	d.mu.Lock()
	for _, name := range names {
		entry := d.hosts[name]
		entry.Health = state
		entries = append(entries, entry)
	}
	d.mu.Unlock()
	d.set(entries...)
	d.world.log("the list has %v as %s", names, state)
}

type answer struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// answerFor returns the entries that changed after a version; the whole list, without those that left, for a negative one.
func (d *discovery) answerFor(node string, since int) answer {
	result := answer{Seq: d.seq, Whole: since < 0, Hosts: []host{}}
	for _, name := range d.order {
		entry := d.hosts[name]
		if since < 0 && entry.Health == "left" || d.since[name] <= since {
			continue
		}
		entry.Dial = d.dials[node][name]
		result.Hosts = append(result.Hosts, entry)
	}
	return result
}

// known returns the whole list as the configuration of a coordinator has it.
func (d *discovery) known(node string) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answerFor(node, -1)
}

// serve serves one coordinator and returns the address.
func (d *discovery) serve(node string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("discovery: %v", err)
	}
	d.told[node] = map[string]float64{}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) { d.handle(node, out, request) }))
	}()
	return listener.Addr().String()
}

func (d *discovery) handle(node string, out http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/api/targets" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	since := -1
	if text := request.URL.Query().Get("since"); text != "" {
		since, _ = strconv.Atoi(text)
		wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		d.wait(since, time.Duration(min(wait, 60000))*time.Millisecond)
	}
	d.mu.Lock()
	result := d.answerFor(node, since)
	d.mu.Unlock()
	body, _ := json.Marshal(result)
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = out.Write(body)
	if flusher, ok := out.(http.Flusher); ok {
		flusher.Flush()
	}
	now := d.world.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range result.Hosts {
		key := toldKey(entry.Host, entry.Health, entry.BornMs)
		if _, done := d.told[node][key]; !done {
			d.told[node][key] = now
			if entry.Health != "active" || entry.BornMs > 0 {
				d.world.log("discovery has told %s: %s is %s, started at Unix ms %.0f", node, entry.Host, entry.Health, entry.BornMs)
			}
		}
	}
}

// wait returns when something newer than a version exists or the time is over.
func (d *discovery) wait(since int, limit time.Duration) {
	deadline := time.Now().Add(limit)
	timer := time.AfterFunc(limit, d.changed.Broadcast)
	defer timer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.seq <= since && time.Now().Before(deadline) {
		d.changed.Wait()
	}
}

func toldKey(name, health string, bornMs float64) string {
	return fmt.Sprintf("%s %s %.0f", name, health, bornMs)
}

// toldAt returns when a coordinator was told a state of a host.
func (d *discovery) toldAt(node, name, health string, bornMs float64) (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[node][toldKey(name, health, bornMs)]
	return at, ok
}

// serveProbes answers the probes of one coordinator at one backend. blocked reports whether the network between them is cut:
// then the connection stays open and silent.
func serveProbes(blocked func() bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("backend: %v", err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
			if blocked() {
				<-request.Context().Done()
				return
			}
			_, _ = out.Write([]byte("{\"inflight\":1}"))
		}))
	}()
	return listener.Addr().String()
}
