package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/disk"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/store"
)

// storeFolder is the folder of the store in the state folder.
const storeFolder = "store"

// restartKeywords are the settings that are read only at the start.
var restartKeywords = []string{"listen", "list-service", "state", "list-from", "list-pool", "list-drain", "list-most-lost"}

// errInstanceRenamed is returned when a file that is read again names another instance.
var errInstanceRenamed = errors.New("a change of the instance's name takes a restart")

// instance is one coordinator of the process, with its store and its endpoint source.
type instance struct {
	file     string
	settings *bootstrap.Settings // as read at the start of the process
	clock    *eventloop.Clock
	source   *endpointSource
	store    *store.Store // nil: nothing is stored
	machine  *coordinator.Machine
	loop     *eventloop.Loop
	log      *slog.Logger
}

// startInstance starts the coordinator of a settings file.
func startInstance(ctx context.Context, cli *program, file string, settings *bootstrap.Settings) (*instance, error) {
	log := cli.logger().With("instance", settings.Name)
	dir := settings.Text("state")
	started := &instance{file: file, settings: settings, clock: eventloop.NewClock(), log: log}
	recovered, err := started.openStore(dir)
	if err != nil {
		return nil, err
	}
	if started.source, err = startEndpointSource(ctx, settings, dir, started.clock, log); err != nil {
		started.closeStore()
		return nil, err
	}
	started.machine = coordinator.NewMachine(coordinatorBootstrap(settings, settings.CoordinatorConfig(started.clock.Now())), recovered)
	if started.loop, err = eventloop.Start(ctx, eventloop.Bootstrap{
		Machine: started.machine, Listen: []string{settings.Text("listen")}, Dir: dir, MaxWriteBuffer: int(settings.Number("reader-buffer")),
		Log: log, Clock: started.clock, Store: started.store,
	}); err != nil {
		started.source.stop()
		started.closeStore()
		return nil, err
	}
	log.Info("coordinator started", "listen", started.loop.Addrs()[0], "endpoint_service", settings.Text("list-service"), "store", dir != "")
	return started, nil
}

// coordinatorBootstrap returns what a coordinator is started with: the settings, with a configuration of the decision module.
func coordinatorBootstrap(settings *bootstrap.Settings, module choice.Config) coordinator.Bootstrap {
	peers := make(map[choice.PeerID]string, len(settings.Peers))
	for number, addr := range settings.Peers {
		peers[choice.PeerID(number)] = addr
	}
	return coordinator.Bootstrap{
		Name:                    settings.Name,
		Zone:                    module.Settings.Zone,
		EndpointListAddr:        settings.Text("list-service"),
		Peers:                   peers,
		ModuleConfig:            module,
		HandshakeTimeout:        settings.Number("handshake"),
		ProxyIdleTimeout:        settings.Number("stream-silence"),
		EndpointListIdleTimeout: settings.Number("list-silence"),
		SettingsText:            settings.Canonical(),
		ProbeTimeout:            settings.Number("probe-timeout"),
		MaxStreams:              int(settings.Number("streams")),
		MaxProbes:               int(settings.Number("probes-at-once")),
	}
}

// reload reads the settings and the endpoint source's file again. Bad settings change nothing.
func (i *instance) reload() {
	i.source.reload()
	fresh, err := bootstrap.Read(i.file)
	if err == nil && fresh.Name != i.settings.Name {
		err = fmt.Errorf("%s: the instance is %s here: %w", i.file, fresh.Name, errInstanceRenamed)
	}
	if err != nil {
		i.log.Error("settings reload failed, the old settings stay in force", "cause", err.Error())
		return
	}
	for _, keyword := range restartKeywords {
		if fresh.Text(keyword) != i.settings.Text(keyword) {
			i.log.Warn("change of a setting needs a restart, the old value stays in force", "keyword", keyword)
		}
	}
	i.loop.RunBetweenSteps(func() {
		i.machine.Reload(coordinatorBootstrap(fresh, fresh.CoordinatorConfig(i.clock.Now())))
	})
	i.log.Info("settings reloaded")
}

// wait returns the error of the event loop when it ends.
func (i *instance) wait() error {
	err := i.loop.Wait()
	machine, loop := i.machine.Stats(), i.loop.Stats()
	i.log.Info("coordinator ended", "joins", machine.Joins, "pushes", machine.Pushes, "table_entries", machine.Entries, "steps", loop.Steps,
		"longest_step_s", loop.LongestStep.Seconds())
	return err
}

// stop ends what still runs, as the end of the context does.
func (i *instance) stop() {
	i.loop.Stop()
	_ = i.loop.Wait() // wait reported it
	i.source.stop()
	i.closeStore()
}

// openStore opens the store in the state folder, and returns what the last run stored. A damaged store ends the start: to
// continue without it is the operator's decision.
func (i *instance) openStore(dir string) (*checkpoint.State, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, storeFolder)
	folder, err := disk.NewReal(path)
	if err != nil {
		return nil, err
	}
	opened, recovery, err := store.Open(store.Options{Folder: folder, Background: true})
	if err != nil {
		return nil, fmt.Errorf("%s: %w (gingerfork store check %s)", path, err, path)
	}
	if recovery.TornBytes > 0 {
		i.log.Warn("torn tail of the store truncated, it was never acknowledged", "file", recovery.TornFile, "torn_bytes", recovery.TornBytes)
	}
	state, err := checkpoint.Decode(opened.Scan(""))
	if err != nil {
		_ = opened.Close() // nothing was written, and an error of Close would only hide the cause
		return nil, fmt.Errorf("the store is intact, but its content is invalid: %w", err)
	}
	i.store = opened
	i.log.Info("store opened", "keys", recovery.Keys, "batches", recovery.LogFrames, "endpoints", len(state.Endpoints), "drains", len(state.Drains),
		"nonce_limit", state.NonceLimit)
	return state, nil
}

func (i *instance) closeStore() {
	if i.store == nil {
		return
	}
	if err := i.store.Close(); err != nil && !errors.Is(err, store.ErrClosed) {
		i.log.Error("store close failed", "cause", err.Error())
	}
}
