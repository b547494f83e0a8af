package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/disk"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/store"
)

type serveCmd struct {
	Files []string `arg:"" help:"The settings, a file for each pool; each has a coordinator of its own in this process, which shares nothing with the others."`
}

// coordinatorOf is what a coordinator is started with, from its settings.
func coordinatorOf(t *bootstrap.Settings, module choice.Config) coordinator.Bootstrap {
	peers := map[choice.PeerID]string{}
	for n, addr := range t.Peers {
		peers[choice.PeerID(n)] = addr
	}
	return coordinator.Bootstrap{
		Name: t.Name, Zone: module.Settings.Zone, EndpointListAddr: t.Text("list-service"), Peers: peers, ModuleConfig: module,
		HandshakeTimeout: t.Number("handshake"), ProxyIdleTimeout: t.Number("stream-silence"), EndpointListIdleTimeout: t.Number("list-silence"),
		SettingsText: t.Canonical(), ProbeTimeout: t.Number("probe-timeout"), MaxStreams: int(t.Number("streams")), MaxProbes: int(t.Number("probes-at-once")),
	}
}

// Run serves all files, or none: one that can't be served at the start ends the others. Later a coordinator that fails
// takes only itself out; the process ends, with its error, once none is left.
func (c serveCmd) Run(ctx context.Context, p *program) error {
	// Before anything is started or said: a SIGHUP that comes while we start must not end the process.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	trades, err := c.read()
	if err != nil {
		return badError{err}
	}
	var all []*served
	defer func() {
		for _, s := range all {
			s.end()
		}
	}()
	for i, t := range trades {
		s, err := start(ctx, p, c.Files[i], t)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	ended := make(chan error)
	for _, s := range all {
		go func() { ended <- s.wait() }()
	}
	for left := len(all); left > 0; {
		select {
		case <-again:
			for _, s := range all {
				s.look()
			}
		case e := <-ended:
			left--
			err = errors.Join(err, e)
		}
	}
	return err
}

// read reads all files. Two instances must not share what each would write over.
func (c serveCmd) read() (all []*bootstrap.Settings, err error) {
	by := map[string]string{}
	for _, f := range c.Files {
		t, bad := bootstrap.Read(f)
		if bad != nil {
			err = errors.Join(err, bad)
			continue
		}
		for what, v := range map[string]string{"name": t.Name, "listen": t.Text("listen"), "state": t.Text("state")} {
			key := what + " " + v
			anyPort := what == "listen" && strings.HasSuffix(v, ":0")
			if first, taken := by[key]; taken && v != "" && !anyPort {
				err = errors.Join(err, fmt.Errorf("%s: its %s %s is that of %s", f, what, v, first))
			}
			by[key] = f
		}
		all = append(all, t)
	}
	return all, err
}

// served is one coordinator of the process.
type served struct {
	file   string
	trade  *bootstrap.Settings
	clock  *eventloop.Clock
	source *source
	store  *store.Store // nil: nothing is kept
	m      *coordinator.Machine
	loop   *eventloop.Loop
	log    *slog.Logger
}

func start(ctx context.Context, p *program, file string, t *bootstrap.Settings) (*served, error) {
	log := p.logger().With("instance", t.Name)
	dir := t.Text("state")
	s := &served{file: file, trade: t, clock: eventloop.NewClock(), log: log}
	kept, err := s.open(dir)
	if err != nil {
		return nil, err
	}
	if s.source, err = follows(ctx, t, dir, s.clock, log); err != nil {
		s.shut()
		return nil, err
	}
	s.m = coordinator.NewMachine(coordinatorOf(t, t.CoordinatorConfig(s.clock.Now())), kept)
	if s.loop, err = eventloop.Start(ctx, eventloop.Bootstrap{
		Machine: s.m, Listen: []string{t.Text("listen")}, Dir: dir, MaxWriteBuffer: int(t.Number("reader-buffer")),
		Log: log, Clock: s.clock, Store: s.store,
	}); err != nil {
		s.source.end()
		s.shut()
		return nil, err
	}
	log.Info("coordinator started", "listen", s.loop.Addrs()[0], "list-service", t.Text("list-service"), "store", dir != "")
	return s, nil
}

// look reads the settings and the file of servers again. Bad ones change nothing.
func (s *served) look() {
	fresh, err := bootstrap.Read(s.file)
	if err == nil && fresh.Name != s.trade.Name {
		err = fmt.Errorf("%s: the instance is %s here, its name takes a restart", s.file, s.trade.Name)
	}
	if err != nil {
		s.log.Error("the settings were read again and are bad; the old stay in force", "cause", err)
		s.source.look()
		return
	}
	s.source.look()
	for _, k := range []string{"listen", "list-service", "state", "list-from", "list-pool", "list-drain", "list-most-lost"} {
		if fresh.Text(k) != s.trade.Text(k) {
			s.log.Warn("this keyword takes a restart; the old value stays in force", "keyword", k)
		}
	}
	s.loop.RunBetweenSteps(func() { s.m.Reload(coordinatorOf(fresh, fresh.CoordinatorConfig(s.clock.Now()))) })
	s.log.Info("the settings were read again and are in force")
}

func (s *served) wait() error {
	err := s.loop.Wait()
	f, lf := s.m.Stats(), s.loop.Figures()
	s.log.Info("coordinator ended", "joins", f.Joins, "messages", f.Pushes, "lines", f.Entries, "steps", lf.Steps, "longest", lf.LongestStep)
	if errors.Is(err, eventloop.ErrMachineFailed) {
		return badError{err}
	}
	return err
}

// end stops what still runs; the context's end does the same.
func (s *served) end() {
	s.loop.Stop()
	_ = s.loop.Wait()
	s.source.end()
	s.shut()
}

// open opens the store in the state folder, and reads what the last run kept. A store that is damaged ends the start: to
// go on without it is the operator's word.
func (s *served) open(dir string) (*checkpoint.State, error) {
	if dir == "" {
		return nil, nil
	}
	folder, err := disk.NewReal(filepath.Join(dir, "store"))
	if err != nil {
		return nil, err
	}
	st, r, err := store.Open(store.Options{Folder: folder, Background: true})
	if err != nil {
		return nil, badError{fmt.Errorf("%s: %w (gingerfork store check %s)", filepath.Join(dir, "store"), err, filepath.Join(dir, "store"))}
	}
	if r.TornBytes > 0 {
		s.log.Warn("the store had a torn tail, never acknowledged, and it was cut", "file", r.TornFile, "bytes", r.TornBytes)
	}
	kept, err := checkpoint.Decode(st.Scan(""))
	if err != nil {
		_ = st.Close() // nothing was written; what it fails at would only hide why
		return nil, badError{fmt.Errorf("the store is whole, but makes no sense: %w", err)}
	}
	s.store = st
	s.log.Info("the store was opened", "keys", r.Keys, "batches", r.LogFrames, "servers", len(kept.Endpoints), "drains", len(kept.Drains), "marks-from", kept.NonceLimit)
	return kept, nil
}

func (s *served) shut() {
	if s.store == nil {
		return
	}
	if err := s.store.Close(); err != nil && !errors.Is(err, store.ErrClosed) {
		s.log.Error("the store could not be closed", "cause", err.Error())
	}
}
