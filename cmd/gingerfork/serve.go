package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/loop"
)

type serveCmd struct {
	File string `arg:"" help:"The settings."`
}

// coordinatorOf is what a coordinator is started with, from its settings.
func coordinatorOf(t *bootstrap.Trade, module choice.Bootstrap) coordinator.Bootstrap {
	peers := map[choice.Peer]string{}
	for n, addr := range t.Peers {
		peers[choice.Peer(n)] = addr
	}
	return coordinator.Bootstrap{Name: t.Name, Zone: module.Word("zone"), ListAddr: t.Text("list-service"), Peers: peers, Module: module,
		Handshake: t.Num("handshake"), Silence: t.Num("stream-silence"), ListSilence: t.Num("list-silence"),
		ProbeTimeout: t.Num("probe-timeout"), MostStreams: int(t.Num("streams")), MostProbes: int(t.Num("probes-at-once"))}
}

func (c serveCmd) Run(p *program, ctx context.Context) error {
	t, err := bootstrap.Read(c.File)
	if err != nil {
		return badError{err}
	}
	log := p.logger().With("instance", t.Name)
	dir := t.Text("state")
	var kept []byte
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return fmt.Errorf("make the state folder: %w", err)
		}
		if kept, err = os.ReadFile(filepath.Join(dir, coordinator.KeptList)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("read the kept list: %w", err)
		}
	}
	clock := loop.NewClock()
	source, err := follows(ctx, t, dir, clock, log)
	if err != nil {
		return err
	}
	defer source.end()
	m := coordinator.NewMachine(coordinatorOf(t, t.Coordinator(clock.Now())), kept)
	l, err := loop.Start(ctx, loop.Bootstrap{Machine: m, Listen: []string{t.Text("listen")}, Dir: dir, MostOut: int(t.Num("reader-buffer")),
		Log: log, Clock: clock})
	if err != nil {
		return err
	}
	log.Info("coordinator started", "listen", l.Addrs()[0], "list-service", t.Text("list-service"), "kept", kept != nil)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	for {
		select {
		case <-again:
			fresh, err := bootstrap.Read(c.File)
			if err != nil {
				log.Error("the settings were read again and are bad; the old stay in force", "cause", err)
				source.look()
				continue
			}
			source.look()
			for _, k := range []string{"listen", "list-service", "state", "list-from", "list-pool", "list-drain", "list-most-lost"} {
				if fresh.Text(k) != t.Text(k) {
					log.Warn("this keyword takes a restart; the old value stays in force", "keyword", k)
				}
			}
			l.Between(func() { m.Renew(coordinatorOf(fresh, fresh.Coordinator(clock.Now()))) })
			log.Info("the settings were read again and are in force")
		case <-l.Done():
			err := l.Wait()
			f, lf := m.Figures(), l.Figures()
			log.Info("coordinator ended", "joins", f.Joins, "messages", f.Messages, "lines", f.Lines, "steps", lf.Steps, "longest", lf.Longest)
			if errors.Is(err, loop.ErrFailed) {
				return badError{err}
			}
			return err
		}
	}
}
