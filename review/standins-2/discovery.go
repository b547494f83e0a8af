package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list, in its JSON form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	seq    int     // version that brought this entry
}

type listDocument struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// toldFunc is called once discovery has written the answer to a coordinator, with the time from which it counts as told.
type toldFunc func(document listDocument, from time.Time)

// lostAnswer and lostWait are the latest times at which an answer that doesn't arrive counts as told: after the call, or after the end
// of the wait of a call that may wait.
const (
	lostAnswer = 6 * time.Second
	lostWait   = 2 * time.Second
)

// discovery is the single list service. Each coordinator reaches it at an address of its own, so that discovery knows whom it
// has told what.
type discovery struct {
	mu      sync.Mutex
	seq     int
	order   []string
	entries map[string]host
	changed chan struct{} // closed and replaced at each change
	waits   chan struct{} // gets a value when a call that may wait arrives, if somebody listens
	calls   sync.Mutex    // calls are handled one at a time, except while they wait
	record  *record
}

func newDiscovery(r *record) *discovery {
	return &discovery{seq: 40, entries: map[string]host{}, changed: make(chan struct{}), waits: make(chan struct{}), record: r}
}

// set changes an entry; the change is one version.
func (d *discovery) set(entry host) {
	d.mu.Lock()
	d.seq++
	entry.seq = d.seq
	if _, known := d.entries[entry.Host]; !known {
		d.order = append(d.order, entry.Host)
	}
	d.entries[entry.Host] = entry
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	d.record.say("list version %d: %s in %s is %s, born_ms %.0f", entry.seq, entry.Host, entry.Site, entry.Health, entry.BornMs)
}

// health changes only the health of an entry.
func (d *discovery) health(name, health string) {
	d.mu.Lock()
	entry := d.entries[name]
	d.mu.Unlock()
	entry.Health = health
	d.set(entry)
}

// healthAll changes the health of several entries, as one version.
func (d *discovery) healthAll(names []string, health string) {
	d.mu.Lock()
	d.seq++
	for _, name := range names {
		entry := d.entries[name]
		entry.Health, entry.seq = health, d.seq
		d.entries[name] = entry
	}
	close(d.changed)
	d.changed = make(chan struct{})
	seq := d.seq
	d.mu.Unlock()
	d.record.say("list version %d: %v are %s", seq, names, health)
}

// whole returns the whole list.
func (d *discovery) whole() listDocument {
	d.mu.Lock()
	defer d.mu.Unlock()
	document := listDocument{Seq: d.seq, Whole: true, Hosts: []host{}}
	for _, name := range d.order {
		if entry := d.entries[name]; entry.Health != "left" {
			document.Hosts = append(document.Hosts, entry)
		}
	}
	return document
}

// since returns the entries that changed after a version, and a channel that is closed at the next change.
func (d *discovery) since(version int) (listDocument, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	document := listDocument{Seq: d.seq, Hosts: []host{}}
	for _, name := range d.order {
		if entry := d.entries[name]; entry.seq > version {
			document.Hosts = append(document.Hosts, entry)
		}
	}
	return document, d.changed
}

// listen serves the list at an address of its own until ctx ends.
//
// loses tells whether its answers are lost on the way at present.
func (d *discovery) listen(ctx context.Context, loses func() bool, told toldFunc) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, request *http.Request) {
		d.calls.Lock()
		defer d.calls.Unlock()
		document, latest := d.whole(), time.Now().Add(lostAnswer)
		if text := request.URL.Query().Get("since"); text != "" {
			version, err := strconv.Atoi(text)
			timeout, err2 := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
			if err != nil || err2 != nil {
				http.Error(w, "bad numbers", http.StatusBadRequest)
				return
			}
			if timeout > 0 {
				latest = time.Now().Add(time.Duration(timeout)*time.Millisecond + lostWait)
				select {
				case d.waits <- struct{}{}:
				default:
				}
			}
			document = d.wait(request.Context(), version, time.Duration(min(timeout, 60000))*time.Millisecond)
		}
		body, err := json.Marshal(document)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if _, err := w.Write(body); err == nil && http.NewResponseController(w).Flush() == nil {
			if loses() {
				d.record.say("the answer with version %d is lost; it counts as told from %.3f at the latest", document.Seq,
					latest.Sub(d.record.start).Seconds())
				told(document, latest)
				return
			}
			told(document, time.Now())
		}
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return listener.Addr().String(), nil
}

// wait waits until something newer than a version exists or the time has passed. Other calls are handled meanwhile.
func (d *discovery) wait(ctx context.Context, version int, timeout time.Duration) listDocument {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		document, changed := d.since(version)
		if len(document.Hosts) > 0 || timeout <= 0 {
			return document
		}
		d.calls.Unlock()
		expired := false
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		d.calls.Lock()
		if expired {
			document, _ := d.since(version)
			return document
		}
	}
}
