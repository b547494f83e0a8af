package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gingerfork/internal/bench/wire"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/platform"
)

type nodeCmd struct{}

// Run serves until SIGTERM. Of what the product has besides, only the network code and the module run: the platform's
// machine has no disk that outlives it, and little memory.
func (nodeCmd) Run(p *program, ctx context.Context) error {
	again := make(chan os.Signal, 1) // before anything else: a SIGHUP that comes while we start must not end the process
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	signal.Ignore(syscall.SIGPIPE) // who ends the reading of our log must not end us
	s, err := readStart()
	if err != nil {
		return badError{err}
	}
	limit(s)
	lines := newSpill(p.err, logRoom)
	defer func() {
		// The log's last lines are worth a moment, not more: a planned restart goes on to SIGKILL.
		late := make(chan struct{})
		defer time.AfterFunc(logEnd, func() { close(late) }).Stop()
		lines.end(late)
	}()
	log := slog.New(zerolog.NewSlogHandler(zerolog.New(lines).With().Timestamp().Logger())).With("instance", s.Name)
	clock := eventloop.NewClock()
	m, err := platform.New(s.Bootstrap(clock.Now()))
	if err != nil {
		log.Warn("the list as last held was refused, we begin without", "cause", err.Error())
	}
	boot := eventloop.Bootstrap{Machine: m, Listen: []string{s.Listen}, MostConns: s.LoopConns(), DialTimeout: 2 * time.Second, Log: log, Clock: clock}
	if s.Memory > 0 {
		boot.MostOut, boot.MostIn = int(min(4<<20, s.Memory/32)), int(min(64<<20, s.Memory/16))
	}
	l, err := listen(ctx, func() (*eventloop.Loop, error) { return eventloop.Start(ctx, boot) })
	if err != nil {
		return badError{err}
	}
	if l == nil {
		return nil // told to end before there was anything to end
	}
	log.Info("coordinator started", "listen", s.Listen, "discovery", s.Discovery, "cores", s.Cores, "memory", s.Memory, "sockets", s.Sockets,
		"proxies", s.Values["proxies"], "listing", s.Values["listing"])
	for {
		select {
		case <-again:
			fresh, err := readStart()
			if err != nil {
				log.Error("the configuration was read again and is bad; the old stays in force", "cause", err.Error())
				continue
			}
			if fresh.Listen != s.Listen || fresh.Name != s.Name || !reflect.DeepEqual(fresh.Values, s.Values) {
				log.Warn("name, address and settings take a restart; the old stay in force")
			}
			l.Between(func() { m.Renew(fresh.Bootstrap(clock.Now())) })
			log.Info("the configuration was read again", "discovery", fresh.Discovery)
		case <-l.Done():
			err := l.Wait()
			f, lf := m.Figures(), l.Figures()
			log.Info("coordinator ended", "joins", f.Joins, "messages", f.Messages, "bytes", f.Bytes, "steps", f.Steps, "refused", f.Refused,
				"spoilt", f.Spoilt, "longest", lf.Longest.Seconds(), "busy", lf.Busy.Seconds())
			if err != nil {
				return badError{err}
			}
			return nil
		}
	}
}

// listen starts the loop. Its address may still be the former process's, which was killed a moment ago: that is waited for.
func listen(ctx context.Context, start func() (*eventloop.Loop, error)) (*eventloop.Loop, error) {
	for end := time.Now().Add(portWait); ; {
		l, err := start()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(portWait / 40):
		}
	}
}

const (
	portWait = 4 * time.Second // a killed process gives its address back far sooner, and a restart must be ready in 6 s
	logRoom  = 4096            // lines
	logEnd   = 200 * time.Millisecond
)

func readStart() (*platform.Start, error) {
	name := os.Getenv(platform.EnvFile)
	if name == "" {
		return nil, errors.New(platform.EnvFile + " does not name the configuration's file")
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	s, err := platform.ReadStart(raw, os.Getenv, wire.FlattenSettings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// limit keeps the runtime inside what the configuration allows.
func limit(s *platform.Start) {
	if s.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(s.Cores)))
	}
	if s.Memory > 0 {
		// The limit is on all the runtime holds; the binary's own pages and the kernel's buffers come on top.
		debug.SetMemoryLimit(s.Memory / 2)
	}
}
