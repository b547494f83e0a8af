package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/endpointfile"
	"gingerfork/internal/endpointservice"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/haproxy"
)

// endpointStatusFile is the name of the file in the state folder that records the result of the last read of the
// HAProxy file named by list-from.
const endpointStatusFile = "list-from.status"

// Verdicts in the status file on the HAProxy file: its endpoint list is in use, was rejected by the endpoint service because
// it would remove too many backends, or could not be read because the HAProxy file is missing or invalid.
const (
	verdictInForce  = "in force"
	verdictHeldBack = "held back"
	verdictBad      = "bad"
)

// errTruncated is returned for a file that does not end with a newline. The beginning of a server line can itself be a valid
// line, so the parser would not detect that the file was cut off.
var errTruncated = errors.New("its last line has no end: it may have been cut short")

// endpointSource runs an endpoint service inside the coordinator's process, for settings that name a HAProxy file
// (list-from) to read the endpoints from. The methods reload and stop do nothing on nil.
type endpointSource struct {
	file    string // path of the HAProxy file
	pool    string // name of the backend section in file; empty: its only one
	dir     string // folder of the status file; empty: no status file is written
	service *endpointservice.Service
	loop    *eventloop.Loop // runs service
	log     *slog.Logger
	mu      sync.Mutex // guards the status file, which reload and the service's event loop write
}

// startEndpointSource starts the endpoint source that the settings describe, and reads its HAProxy file. It returns nil if the
// settings name no file.
func startEndpointSource(ctx context.Context, settings *bootstrap.Settings, dir string, clock *eventloop.Clock, log *slog.Logger) (*endpointSource, error) {
	file := settings.Text("list-from")
	if file == "" || file == "-" {
		return nil, nil
	}
	source := &endpointSource{file: file, pool: strings.TrimPrefix(settings.Text("list-pool"), "-"), dir: dir, log: log}
	cached, err := readCachedEndpoints(dir)
	if err != nil {
		return nil, err
	}
	terms := endpointfile.Settings{DrainPeriod: settings.Number("list-drain"), MaxLossShare: settings.Number("list-most-lost")}
	source.service, err = endpointservice.New(settings.Name, settings.CoordinatorConfig(0).Settings.Zone, terms, cached, source.applied)
	if err != nil {
		log.Warn("cached endpoint list rejected, starting without it", "cause", err.Error())
	}
	if source.loop, err = eventloop.Start(ctx, eventloop.Bootstrap{
		Machine: source.service, Listen: []string{settings.Text("list-service")}, Dir: dir, Log: log, Clock: clock,
	}); err != nil {
		return nil, fmt.Errorf("start the endpoint service for %s: %w", file, err)
	}
	source.reload()
	return source, nil
}

// readCachedEndpoints returns the endpoint list that an earlier run cached in the state folder, or nil if there is none.
func readCachedEndpoints(dir string) ([]byte, error) {
	if dir == "" {
		return nil, nil
	}
	cached, err := os.ReadFile(filepath.Join(dir, endpointservice.StateFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("read the cached endpoint list: %w", err)
	}
	return cached, nil
}

// applied logs whether the endpoint service applied or rejected the endpoints of the HAProxy file, and updates the status
// file. changed is the number of endpoints that differ from before.
func (s *endpointSource) applied(changed int, err error) {
	if err != nil {
		s.log.Error("endpoint file held back, the old endpoint list stays in force", "file", s.file, "cause", err.Error())
		s.writeStatus(verdictHeldBack, err.Error())
		return
	}
	s.log.Info("endpoint file applied", "file", s.file, "changed", changed)
	s.writeStatus(verdictInForce, fmt.Sprintf("%d servers changed", changed))
}

// reload reads the HAProxy file and submits its endpoints to the service. If the file cannot be read or is invalid, the old
// list stays in use.
func (s *endpointSource) reload() {
	if s == nil {
		return
	}
	servers, err := s.readServers()
	if err != nil {
		s.log.Error("endpoint file invalid, the old endpoint list stays in force", "file", s.file, "cause", err.Error())
		s.writeStatus(verdictBad, err.Error())
		return
	}
	s.loop.RunBetweenSteps(func() { s.service.Submit(servers) })
}

// readServers reads the servers of the pool from the HAProxy file.
func (s *endpointSource) readServers() ([]endpointfile.Backend, error) {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return nil, err
	}
	if !strings.HasSuffix(string(text), "\n") {
		return nil, errTruncated
	}
	return haproxy.Read([]haproxy.Source{{Name: s.file, Text: string(text)}}, haproxy.Environment{}).Servers(s.pool)
}

// writeStatus records the result of the last read of the HAProxy file, for operators without access to the log. It replaces
// the status file by a rename, so that a reader never sees a partly written file.
func (s *endpointSource) writeStatus(verdict, reason string) {
	if s.dir == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := filepath.Join(s.dir, endpointStatusFile)
	text := fmt.Sprintf("file %s\nread %s\nverdict %s\nreason %s\n", bootstrap.Quote(s.file), time.Now().UTC().Format(time.RFC3339),
		bootstrap.Quote(verdict), bootstrap.Quote(reason))
	err := os.WriteFile(name+".new", []byte(text), 0o644)
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if err != nil {
		s.log.Warn("status file write failed", "file", name, "cause", err.Error())
	}
}

// stop ends the endpoint service.
func (s *endpointSource) stop() {
	if s == nil {
		return
	}
	s.loop.Stop()
	_ = s.loop.Wait() // the process is about to exit, and nothing uses the service any more
}
