package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

// fakeHost is a backend in the list of fakeDiscovery.
type fakeHost struct {
	health  string
	born    float64 // seconds
	version int     // of the list with its last change
}

// fakeDiscovery is discovery as the platform's pages describe it, and all backends, which only answer probes.
type fakeDiscovery struct {
	version      int
	hosts        map[string]*fakeHost
	mode         string // "" for success, or how it fails: 503, hang, reset, cut (a truncated response), bad (invalid JSON)
	chunked      bool
	waits        map[statemachine.Conn]fakeLongPoll
	unread       map[statemachine.Conn]string
	calls        int
	maxWaiting   int // long polls at the same time
	silentProbes map[int]bool
	probes       int
}

type fakeLongPoll struct {
	since int
	due   statemachine.Seconds
}

func newFakeDiscovery() *fakeDiscovery {
	return &fakeDiscovery{
		hosts: map[string]*fakeHost{}, waits: map[statemachine.Conn]fakeLongPoll{}, unread: map[statemachine.Conn]string{},
		silentProbes: map[int]bool{},
	}
}

func (d *fakeDiscovery) set(name, health string, born float64) {
	d.version++
	d.hosts[name] = &fakeHost{health, born, d.version}
}

// list returns the full list, or the changes since a version.
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
			"host": name, "dial": "servers", "site": zone, "class": "m2", "block": 1, "health": host.health, "share": 1.5, "born_ms": host.born * 1000,
		})
	}
	body, err := json.Marshal(map[string]any{"seq": d.version, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return body
}

// respond sends the list, or fails in the present mode.
func (d *fakeDiscovery) respond(conn statemachine.Conn, whole bool, since int, out *statemachine.Effects) {
	body := d.list(whole, since)
	switch d.mode {
	case "503":
		out.Write(conn, []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	case "hang":
	case "reset":
		out.Abort(conn)
	case "cut":
		out.Write(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		out.Close(conn)
	case "bad":
		out.Write(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"))
	default:
		d.respondOK(conn, body, out)
	}
}

// respondOK sends every other response in chunks.
func (d *fakeDiscovery) respondOK(conn statemachine.Conn, body []byte, out *statemachine.Effects) {
	if d.chunked = !d.chunked; !d.chunked {
		out.Write(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return
	}
	out.Write(conn, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for len(body) > 0 {
		n := min(len(body), 100)
		out.Write(conn, fmt.Appendf(nil, "%x\r\n%s\r\n", n, body[:n]))
		body = body[n:]
	}
	out.Write(conn, []byte("0\r\n\r\n"))
}

// Step implements statemachine.Machine.
func (d *fakeDiscovery) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch input.Kind {
		case statemachine.ConnClosed:
			delete(d.waits, input.Conn)
			delete(d.unread, input.Conn)
		case statemachine.ConnData:
			d.unread[input.Conn] += string(input.Data)
			if request := d.unread[input.Conn]; strings.HasSuffix(request, "\r\n\r\n") {
				d.unread[input.Conn] = ""
				d.handleRequest(now, input.Conn, strings.Fields(request)[1], out)
			}
		}
	}
	for conn, poll := range d.waits {
		if d.version > poll.since || now >= poll.due {
			delete(d.waits, conn)
			d.respond(conn, false, poll.since, out)
		} else {
			out.WakeBy(poll.due)
		}
	}
}

func (d *fakeDiscovery) handleRequest(now statemachine.Seconds, conn statemachine.Conn, path string, out *statemachine.Effects) {
	if strings.HasPrefix(path, "/-/") {
		if d.probes++; !d.silentProbes[d.probes%5] {
			out.Write(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
		return
	}
	d.calls++
	since, timeout := -1, 0
	if _, query, ok := strings.Cut(path, "?"); ok {
		fmt.Sscanf(query, "since=%d&timeout_ms=%d", &since, &timeout)
	}
	if since < 0 || d.version > since || timeout == 0 || d.mode != "" {
		d.respond(conn, since < 0, since, out)
	} else {
		d.waits[conn] = fakeLongPoll{since, now + float64(timeout)/1000}
	}
	d.maxWaiting = max(d.maxWaiting, len(d.waits))
}
