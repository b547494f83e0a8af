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

// endpointStatusFile is the file in the state folder that tells how the last read of the endpoint file went.
const endpointStatusFile = "list-from.status"

// Verdicts in the status file.
const (
	verdictInForce  = "in force"
	verdictHeldBack = "held back"
	verdictBad      = "bad"
)

// errTruncated is returned for a file whose last line is incomplete. A part of a server's line may well be valid itself, so
// the parser would not notice.
var errTruncated = errors.New("its last line has no end: it may have been cut short")

// endpointSource is the endpoint service that a coordinator's process runs itself when its settings name a HAProxy file to
// take the endpoints from. The methods of nil do nothing.
type endpointSource struct {
	file    string
	pool    string // the HAProxy backend section
	dir     string // of the status file; empty: none is written
	service *endpointservice.Service
	loop    *eventloop.Loop
	log     *slog.Logger
	mu      sync.Mutex // held while the status file is written: by reload and by the service's event loop
}

// startEndpointSource starts the endpoint source that the settings describe. It returns nil if they name no file.
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
		return nil, fmt.Errorf("list the servers of %s: %w", file, err)
	}
	source.reload()
	return source, nil
}

// readCachedEndpoints returns the endpoint list that the last run cached in the state folder; nil if there is none.
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

// applied reports what the endpoint service made of the file.
func (s *endpointSource) applied(changed int, err error) {
	if err != nil {
		s.log.Error("endpoint file held back, the old endpoint list stays in force", "file", s.file, "cause", err.Error())
		s.writeStatus(verdictHeldBack, err.Error())
		return
	}
	s.log.Info("endpoint file applied", "file", s.file, "changed", changed)
	s.writeStatus(verdictInForce, fmt.Sprintf("%d servers changed", changed))
}

// reload reads the file again. A file that cannot be read or that is invalid changes nothing.
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

// readServers reads the servers of the pool from the file.
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

// writeStatus records how the last read of the file went, for operators without access to the log. The status file is
// replaced by a rename, so that a reader never sees half of it.
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
	_ = s.loop.Wait() // the process ends, and nothing depends on the service any more
}
