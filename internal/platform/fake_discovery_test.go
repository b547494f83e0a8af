package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

// fakeHost is a backend in the endpoint list of fakeDiscovery.
type fakeHost struct {
	health    string
	startedAt float64 // seconds
	version   int     // version of the list that had the last change of this backend
}

// fakeDiscovery is a node of the simulated network that implements the platform's discovery service. It also plays all
// backends, of which it only answers probes.
type fakeDiscovery struct {
	version                int
	hosts                  map[string]*fakeHost
	failureMode            string // how requests fail: "503", "hang", "reset", "truncated" or "invalid JSON"; "" if they succeed
	lastChunked            bool
	longPolls              map[statemachine.Conn]fakeLongPoll
	unread                 map[statemachine.Conn]string
	listRequestCount       int
	maxConcurrentLongPolls int          // the largest number of long polls that were held at the same time
	unansweredProbes       map[int]bool // which probes get no answer, by probeCount modulo 5
	probeCount             int          // probes received so far
}

// fakeLongPoll is a request that is held until the list changes or the deadline passes.
type fakeLongPoll struct {
	sinceVersion int
	deadline     statemachine.Seconds
}

// newFakeDiscovery returns a discovery service with an empty list.
func newFakeDiscovery() *fakeDiscovery {
	return &fakeDiscovery{
		hosts: map[string]*fakeHost{}, longPolls: map[statemachine.Conn]fakeLongPoll{}, unread: map[statemachine.Conn]string{},
		unansweredProbes: map[int]bool{},
	}
}

// set adds or changes a backend. Its process has started at startedAt, in seconds.
func (d *fakeDiscovery) set(name, health string, startedAt float64) {
	d.version++
	d.hosts[name] = &fakeHost{health, startedAt, d.version}
}

// list returns the full list, or the changes since a version, as JSON.
func (d *fakeDiscovery) list(whole bool, since int) []byte {
	names := make([]string, 0, len(d.hosts))
	for name := range d.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	hosts := []map[string]any{}
	for _, name := range names {
		host := d.hosts[name]
		if whole && host.health == "left" || !whole && host.version <= since {
			continue
		}
		zone := "a"
		if name[len(name)-1]%2 == 1 {
			zone = "b"
		}
		hosts = append(hosts, map[string]any{
			"host": name, "dial": "servers", "site": zone, "class": "m2", "block": 1, "health": host.health, "share": 1.5, "born_ms": host.startedAt * 1000,
		})
	}
	body, err := json.Marshal(map[string]any{"seq": d.version, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return body
}

// respond sends the full list or the changes since a version, or fails as failureMode says.
func (d *fakeDiscovery) respond(conn statemachine.Conn, whole bool, since int, out *statemachine.Effects) {
	body := d.list(whole, since)
	switch d.failureMode {
	case "503":
		out.Write(conn, []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	case "hang":
	case "reset":
		out.Abort(conn)
	case "truncated":
		out.Write(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		out.Close(conn)
	case "invalid JSON":
		out.Write(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"))
	default:
		d.respondOK(conn, body, out)
	}
}

// respondOK sends a successful response. Every other one is chunked.
func (d *fakeDiscovery) respondOK(conn statemachine.Conn, body []byte, out *statemachine.Effects) {
	if d.lastChunked = !d.lastChunked; !d.lastChunked {
		out.Write(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return
	}
	out.Write(conn, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for len(body) > 0 {
		size := min(len(body), 100)
		out.Write(conn, fmt.Appendf(nil, "%x\r\n%s\r\n", size, body[:size]))
		body = body[size:]
	}
	out.Write(conn, []byte("0\r\n\r\n"))
}

// Step implements statemachine.Machine.
func (d *fakeDiscovery) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch input.Kind {
		case statemachine.ConnClosed:
			delete(d.longPolls, input.Conn)
			delete(d.unread, input.Conn)
		case statemachine.ConnData:
			d.unread[input.Conn] += string(input.Data)
			if request := d.unread[input.Conn]; strings.HasSuffix(request, "\r\n\r\n") {
				d.unread[input.Conn] = ""
				d.handleRequest(now, input.Conn, strings.Fields(request)[1], out)
			}
		}
	}
	for conn, poll := range d.longPolls {
		if d.version > poll.sinceVersion || now >= poll.deadline {
			delete(d.longPolls, conn)
			d.respond(conn, false, poll.sinceVersion, out)
		} else {
			out.WakeBy(poll.deadline)
		}
	}
}

// handleRequest answers a probe or a request for the endpoint list. A long poll is held if the list has not changed since the
// version in the request.
func (d *fakeDiscovery) handleRequest(now statemachine.Seconds, conn statemachine.Conn, path string, out *statemachine.Effects) {
	if strings.HasPrefix(path, "/-/") {
		if d.probeCount++; !d.unansweredProbes[d.probeCount%5] {
			out.Write(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
		return
	}
	d.listRequestCount++
	since, timeout := -1, 0
	if _, query, ok := strings.Cut(path, "?"); ok {
		fmt.Sscanf(query, "since=%d&timeout_ms=%d", &since, &timeout)
	}
	if since < 0 || d.version > since || timeout == 0 || d.failureMode != "" {
		d.respond(conn, since < 0, since, out)
	} else {
		d.longPolls[conn] = fakeLongPoll{since, now + float64(timeout)/1000}
	}
	d.maxConcurrentLongPolls = max(d.maxConcurrentLongPolls, len(d.longPolls))
}
