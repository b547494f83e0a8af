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

// storeFolder is the name of the store's folder inside the state folder.
const storeFolder = "store"

// restartKeywords are the settings that are read only at the start, so that a change needs a restart.
var restartKeywords = []string{"listen", "list-service", "state", "list-from", "list-pool", "list-drain", "list-most-lost"}

// errInstanceRenamed is returned when a reloaded settings file has another instance name.
var errInstanceRenamed = errors.New("a change of the instance name needs a restart")

// instance is one coordinator of the process with its store and its endpoint source.
type instance struct {
	file     string              // path of the settings file
	settings *bootstrap.Settings // as read at the start of the process
	clock    *eventloop.Clock
	source   *endpointSource // nil if the settings name no HAProxy file
	store    *store.Store    // in the state folder; nil if the settings name none
	machine  *coordinator.Machine
	loop     *eventloop.Loop
	log      *slog.Logger
}

// startInstance starts the coordinator that a settings file describes.
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

// coordinatorBootstrap returns the start parameters of a coordinator: its settings and the configuration of its decision
// module.
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

// reload reads the settings and the endpoint source's file again. If the settings are invalid, the old ones stay in use.
func (i *instance) reload() {
	i.source.reload()
	reloaded, err := bootstrap.Read(i.file)
	if err == nil && reloaded.Name != i.settings.Name {
		err = fmt.Errorf("%s: the instance name is now %s: %w", i.file, reloaded.Name, errInstanceRenamed)
	}
	if err != nil {
		i.log.Error("settings reload failed, the old settings stay in force", "cause", err.Error())
		return
	}
	for _, keyword := range restartKeywords {
		if reloaded.Text(keyword) != i.settings.Text(keyword) {
			i.log.Warn("change of a setting needs a restart, the old value stays in force", "keyword", keyword)
		}
	}
	i.loop.RunBetweenSteps(func() {
		i.machine.Reload(coordinatorBootstrap(reloaded, reloaded.CoordinatorConfig(i.clock.Now())))
	})
	i.log.Info("settings reloaded")
}

// wait waits until the event loop ends, logs the totals of the run and returns the error of the event loop.
func (i *instance) wait() error {
	err := i.loop.Wait()
	machine, loop := i.machine.Stats(), i.loop.Stats()
	i.log.Info("coordinator ended", "joins", machine.Joins, "pushes", machine.Pushes, "table_entries", machine.Entries, "steps", loop.Steps,
		"longest_step_s", loop.LongestStep.Seconds())
	return err
}

// stop stops the event loop and the endpoint source if they still run, and closes the store.
func (i *instance) stop() {
	i.loop.Stop()
	_ = i.loop.Wait() // wait returns this error, too
	i.source.stop()
	i.closeStore()
}

// openStore opens the store in the state folder and returns the state that the last run stored. It does nothing if dir is
// empty. A damaged store is an error, because only the operator may decide to continue without it.
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
		_ = opened.Close() // nothing was written, and an error of Close would only hide the error of Decode
		return nil, fmt.Errorf("the store is undamaged, but its content is invalid: %w", err)
	}
	i.store = opened
	i.log.Info("store opened", "keys", recovery.Keys, "batches", recovery.LogFrames, "endpoints", len(state.Endpoints), "drains", len(state.Drains),
		"nonce_limit", state.NonceLimit)
	return state, nil
}

// closeStore closes the store if there is one, and logs an error.
func (i *instance) closeStore() {
	if i.store == nil {
		return
	}
	if err := i.store.Close(); err != nil && !errors.Is(err, store.ErrClosed) {
		i.log.Error("store close failed", "cause", err.Error())
	}
}
