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

// source is the list service that a coordinator's process runs itself, where its settings name a file; nil: it runs none.
type source struct {
	file, pool string
	dir        string // where the status is kept; "": nowhere
	service    *endpointservice.Service
	loop       *eventloop.Loop
	log        *slog.Logger
	writing    sync.Mutex // the status is written by whoever reads the file and by the service's owner
}

func follows(ctx context.Context, t *bootstrap.Settings, dir string, clock *eventloop.Clock, log *slog.Logger) (*source, error) {
	if file := t.Text("list-from"); file == "" || file == "-" {
		return nil, nil
	}
	s := &source{file: t.Text("list-from"), pool: strings.TrimPrefix(t.Text("list-pool"), "-"), dir: dir, log: log}
	var kept []byte
	if dir != "" {
		var err error
		if kept, err = os.ReadFile(filepath.Join(dir, endpointservice.StateFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("read what was followed: %w", err)
		}
	}
	var err error
	s.service, err = endpointservice.New(t.Name, t.CoordinatorConfig(0).Settings.Zone, endpointfile.Settings{DrainPeriod: t.Number("list-drain"), MaxLossShare: t.Number("list-most-lost")}, kept,
		func(changed int, err error) {
			if err != nil {
				log.Error("the file of servers is held back; the list stays as it was", "file", s.file, "cause", err.Error())
				s.status("held back", err.Error())
				return
			}
			log.Info("the file of servers was read", "file", s.file, "changed", changed)
			s.status("in force", fmt.Sprintf("%d servers changed", changed))
		})
	if err != nil {
		log.Warn("what was followed before is not usable; the list starts anew", "cause", err.Error())
	}
	if s.loop, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: s.service, Listen: []string{t.Text("list-service")}, Dir: dir, Log: log, Clock: clock}); err != nil {
		return nil, fmt.Errorf("list the servers of %s: %w", s.file, err)
	}
	s.look()
	return s, nil
}

// look reads the file again. One that can't be read, or is at fault, changes nothing.
func (s *source) look() {
	if s == nil {
		return
	}
	text, err := os.ReadFile(s.file)
	var servers []endpointfile.Backend
	if err == nil && !strings.HasSuffix(string(text), "\n") {
		// Cut short within a line, a file may well make sense: a server's line that is no more one.
		err = errors.New("its last line has no end: it may have been cut short")
	}
	if err == nil {
		servers, err = haproxy.Read([]haproxy.Source{{Name: s.file, Text: string(text)}}, haproxy.Given{}).Servers(s.pool)
	}
	if err != nil {
		s.log.Error("the file of servers is bad; the list stays as it was", "file", s.file, "cause", err.Error())
		s.status("bad", err.Error())
		return
	}
	s.loop.RunBetweenSteps(func() { s.service.Submit(servers) })
}

// status says in the state folder what became of the file when it was read last, for whoever has no log at hand. It is
// replaced whole, so that a reader never sees half of it.
func (s *source) status(verdict, why string) {
	if s.dir == "" {
		return
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	name := filepath.Join(s.dir, "list-from.status")
	text := fmt.Sprintf("file %s\nread %s\nverdict %s\nreason %s\n", bootstrap.Quote(s.file), time.Now().UTC().Format(time.RFC3339), bootstrap.Quote(verdict), bootstrap.Quote(why))
	err := os.WriteFile(name+".new", []byte(text), 0o644)
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if err != nil {
		s.log.Warn("the status of the file of servers could not be written", "cause", err.Error())
	}
}

func (s *source) end() {
	if s != nil {
		s.loop.Stop()
		_ = s.loop.Wait()
	}
}
