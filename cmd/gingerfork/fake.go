package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// fakeProbeWorkDivisor is the mean work of an RPC at a fake backend divided by the work of a probe, or of a new connection.
const fakeProbeWorkDivisor = 10

var (
	errEndpointFormat = errors.New("is not NUMBER,ZONE,WEIGHT,HOST:PORT")
	errWriteTrace     = errors.New("write the trace")
)

// fakeCmd groups the commands that run a fake of one system. The hidden commands are earlier names.
type fakeCmd struct {
	Frontend  fakeFrontEndCmd  `cmd:"" help:"A proxy that subscribes to a coordinator's tables. Example: gingerfork fake frontend --settings perth.conf --coordinator 127.0.0.1:7400 --name f0"`
	Backend   fakeBackendCmd   `cmd:"" help:"A backend. Example: gingerfork fake backend --listen 127.0.0.1:7501 --id 1"`
	Endpoints fakeEndpointsCmd `cmd:"" help:"An endpoint service that lists the given backends. Example: gingerfork fake endpoints --listen 127.0.0.1:7300 1,dc-kewdale,1,127.0.0.1:7501"`

	OldBackend   fakeBackendCmd   `cmd:"" hidden:"" name:"server"`
	OldEndpoints fakeEndpointsCmd `cmd:"" hidden:"" name:"list"`
}

// fakeFlags are the flags that all fakes have.
type fakeFlags struct {
	Trace string `help:"Write a trace to this file, one record per line." placeholder:"FILE"`
	Seed  uint64 `help:"Seed of all random draws." default:"1"`
}

// run runs the state machine of a fake in an event loop until ctx ends. Each line of standard input is a command to it.
func (f fakeFlags) run(ctx context.Context, cli *program, name string, machine statemachine.Machine, listen ...string) (err error) {
	log := cli.logger().With("fake", name)
	config := eventloop.Bootstrap{Machine: machine, Listen: listen, Log: log}
	if f.Trace != "" {
		file, err := os.Create(f.Trace)
		if err != nil {
			return fmt.Errorf("%w: %w", errWriteTrace, err)
		}
		buffered := bufio.NewWriter(file)
		defer func() {
			if closeErr := errors.Join(buffered.Flush(), file.Close()); closeErr != nil {
				err = errors.Join(err, fmt.Errorf("%w: %w", errWriteTrace, closeErr))
			}
		}()
		config.Trace = func(records []trace.Record) {
			for _, record := range records {
				_, _ = buffered.Write(record.Append(nil)) // the writer returns its first error again at Flush
			}
		}
	}
	loop, err := eventloop.Start(ctx, config)
	if err != nil {
		return err
	}
	log.Info("fake started", "listen", strings.Join(loop.Addrs(), " "))
	go func() { // ends only with the process, as nothing interrupts a read of standard input
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			loop.SendCommand(lines.Text())
		}
	}()
	return loop.Wait()
}

type fakeBackendCmd struct {
	fakeFlags
	Listen   string  `required:"" help:"Address to listen on." placeholder:"HOST:PORT"`
	ID       uint32  `required:"" aliases:"ep" help:"Number of the backend in the endpoint list." placeholder:"N"`
	Capacity float64 `help:"RPCs per second when warm." default:"30"`
	Workers  int     `help:"Number of RPCs that run at once." default:"2"`
	Queue    int     `help:"Number of RPCs that may wait in the queue." default:"30"`
	Work     string  `help:"Distribution of the work of an RPC: exponential, fixed, lognormal:CV or pareto:EXPONENT." default:"exponential"`
	Cold     bool    `help:"Start cold."`
	Settings string  `help:"Settings file of the fleet, for the warm-up of cold backends and their collapse under load." placeholder:"FILE"`
}

// Run runs the backend until ctx ends.
func (c fakeBackendCmd) Run(ctx context.Context, cli *program) error {
	work, err := emulator.ParseWork(c.Work, float64(c.Workers)/c.Capacity)
	if err != nil {
		return err
	}
	config := emulator.Config{
		Backend:         c.ID,
		Cores:           c.Workers,
		Speed:           1,
		Work:            []emulator.Work{work},
		QueueLimit:      c.Queue,
		CancelPolicy:    emulator.DropQueued,
		StartsCold:      c.Cold,
		ProbeWork:       work.Mean / fakeProbeWorkDivisor,
		ConnWork:        work.Mean / fakeProbeWorkDivisor,
		Seed:            c.Seed,
		IdempotencyKeys: &emulator.IdempotencyKeyStore{},
	}
	if c.Settings != "" {
		settings, err := bootstrap.Read(c.Settings)
		if err != nil {
			return err
		}
		module := settings.CoordinatorConfig(0).Settings
		config.ColdSpeed, config.WarmupTime = module.ColdCapacityShare.Or(1), module.WarmupDuration.Or(0)
		config.OverloadMultiple, config.OverloadWindow = module.CollapseLoadMultiple.Or(0), module.CollapseWindow.Or(0)
	}
	return c.run(ctx, cli, fmt.Sprint("backend-", c.ID), emulator.NewBackend(config), c.Listen)
}

type fakeEndpointsCmd struct {
	fakeFlags
	Listen   string   `required:"" help:"Address to listen on." placeholder:"HOST:PORT"`
	Backends []string `arg:"" name:"servers" help:"Backends, each as NUMBER,ZONE,WEIGHT,HOST:PORT."`
}

// Run serves the endpoint list until ctx ends.
func (c fakeEndpointsCmd) Run(ctx context.Context, cli *program) error {
	endpoints := make([]fake.Endpoint, 0, len(c.Backends))
	for _, text := range c.Backends {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			return fmt.Errorf("backend %q: %w", text, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return c.run(ctx, cli, "endpoints", fake.NewEndpointService(endpoints), c.Listen)
}

// parseEndpoint parses NUMBER,ZONE,WEIGHT,HOST:PORT.
func parseEndpoint(text string) (fake.Endpoint, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 4 {
		return fake.Endpoint{}, errEndpointFormat
	}
	id, err := strconv.ParseUint(fields[0], 10, 32)
	if err != nil {
		return fake.Endpoint{}, err
	}
	weight, err := bootstrap.ParseNumber(fields[2])
	if err != nil {
		return fake.Endpoint{}, fmt.Errorf("weight %w", err)
	}
	return fake.Endpoint{Backend: proto.BackendID(id), State: proto.BackendOpen, Zone: fields[1], Weight: weight, Addr: fields[3], Incarnation: 1}, nil
}

type fakeFrontEndCmd struct {
	fakeFlags
	Settings    string   `required:"" help:"Settings file of the fleet." placeholder:"FILE"`
	Coordinator []string `required:"" help:"Addresses of coordinators, in order of preference." placeholder:"HOST:PORT"`
	Name        string   `required:"" help:"Name of the proxy." placeholder:"NAME"`
	Zone        string   `help:"Zone of the proxy; default: the first zone of the settings." placeholder:"ZONE"`
	Rate        float64  `help:"RPCs per second." default:"10"`
}

// Run runs the front end, which sends RPCs, until ctx ends.
func (c fakeFrontEndCmd) Run(ctx context.Context, cli *program) error {
	settings, err := bootstrap.Read(c.Settings)
	if err != nil {
		return err
	}
	module := settings.CoordinatorConfig(0)
	config := frontEndConfig(&module.Settings)
	config.Name, config.Zone, config.Coordinators, config.Rate, config.Seed = c.Name, c.Zone, c.Coordinator, c.Rate, c.Seed
	if zones := module.Settings.Zones; c.Zone == "" && len(zones) > 0 {
		config.Zone = zones[0]
	}
	return c.run(ctx, cli, c.Name, fake.NewFrontEnd(config))
}
