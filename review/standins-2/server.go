package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend. Its requests are only counted; its health checks are answered on a socket.
type server struct {
	world *world
	name  string
	zone  string
	share float64
	addr  string

	mu       sync.Mutex
	up       bool
	born     time.Time // zero: long ago
	http     *http.Server
	attempts int
	arrived  []arrival // while it is cold
	fallen   bool
	hangs    atomic.Bool
}

// arrival is a request that came to a cold server.
type arrival struct {
	at      time.Time
	knowing bool // from a proxy whose coordinator knew of the start, see world.knowing
}

// capacityAt returns the requests a second that a server can do, which rises evenly from the cold share.
func (s *server) capacityAt(at time.Time) float64 {
	full := s.world.capacity * s.share
	if s.born.IsZero() {
		return full
	}
	warmth := min(1, max(0, at.Sub(s.born).Seconds()/s.world.warmAfter.Seconds()))
	return full * (s.world.coldShare + (1-s.world.coldShare)*warmth)
}

// arrive counts a request to a cold server. It reports whether the server was brought too much: in a window of the fall time more
// than the fall multiple of what it could do then, with slack for chance, two thirds of it from proxies that should know.
func (s *server) arrive(knowing bool) (tooMuch bool, load, limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.up || s.born.IsZero() || now.Sub(s.born) > s.world.warmAfter {
		return false, 0, 0
	}
	s.arrived = append(s.arrived, arrival{now, knowing})
	from := now.Add(-s.world.fallTime)
	for len(s.arrived) > 0 && s.arrived[0].at.Before(from) {
		s.arrived = s.arrived[1:]
	}
	known := 0
	for _, one := range s.arrived {
		if one.knowing {
			known++
		}
	}
	load = float64(len(s.arrived))
	could := (s.capacityAt(from) + s.capacityAt(now)) / 2 * s.world.fallTime.Seconds()
	limit = s.world.fallFactor*could + 3
	if s.fallen || load <= limit || known*3 < len(s.arrived)*2 {
		return false, load, limit
	}
	s.fallen, s.up = true, false
	return true, load, limit
}

// start starts the server's process. It keeps its address over restarts.
func (s *server) start(born time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = freeAddress()
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr, s.up, s.born = listener.Addr().String(), true, born
	s.arrived, s.fallen = nil, false
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, request *http.Request) {
		if s.hangs.Load() {
			<-request.Context().Done()
			return
		}
		w.WriteHeader(http.StatusOK)
	}
	mux.HandleFunc("GET /-/healthy", answer)
	mux.HandleFunc("GET /-/load", answer)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// die ends the process: its connections are reset and new ones refused.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	if s.http != nil {
		_ = s.http.Shutdown(context.Background())
		_ = s.http.Close()
	}
}

// serve counts an attempt and reports whether it succeeds.
func (s *server) serve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	return s.up && !s.hangs.Load()
}

// hang has the server take requests and answer none, or ends that.
func (s *server) hang(on bool) { s.hangs.Store(on) }

// entry returns the server's entry in the list.
func (s *server) entry(health string) host {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := host{Host: s.name, Dial: s.addr, Site: s.zone, Class: "std-2c", Health: health, Share: s.share}
	if !s.born.IsZero() {
		entry.BornMs = float64(s.born.UnixMilli())
	}
	return entry
}
