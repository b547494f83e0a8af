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

type standinCmd struct {
	Frontend frontendCmd `cmd:"" help:"A front end that follows a coordinator's tables. Example: gingerfork standin frontend --settings perth.conf --coordinator 127.0.0.1:7400 --name f0"`
	Server   serverCmd   `cmd:"" help:"A server. Example: gingerfork standin server --listen 127.0.0.1:7501 --ep 1"`
	List     listCmd     `cmd:"" help:"A list service that shows the given servers. Example: gingerfork standin list --listen 127.0.0.1:7300 1,dc-kewdale,1,127.0.0.1:7501"`
}

// standinFlags are those of all stand-ins. Words on standard input, a line each, are what scripts tell them.
type standinFlags struct {
	Trace string `help:"Write what passes to this file, one record a line." placeholder:"FILE"`
	Seed  uint64 `help:"What chance is drawn from." default:"1"`
}

func (f standinFlags) run(ctx context.Context, p *program, name string, m statemachine.Machine, listen ...string) (err error) {
	log := p.logger().With("standin", name)
	b := eventloop.Bootstrap{Machine: m, Listen: listen, Log: log}
	if f.Trace != "" {
		file, err := os.Create(f.Trace)
		if err != nil {
			return fmt.Errorf("write the trace: %w", err)
		}
		w := bufio.NewWriter(file)
		defer func() {
			if bad := errors.Join(w.Flush(), file.Close()); bad != nil {
				err = errors.Join(err, fmt.Errorf("write the trace: %w", bad))
			}
		}()
		b.Trace = func(all []trace.Record) {
			for _, r := range all {
				_, _ = w.Write(r.Append(nil)) // the writer keeps its first error for Flush
			}
		}
	}
	l, err := eventloop.Start(ctx, b)
	if err != nil {
		return err
	}
	log.Info("stand-in started", "listen", strings.Join(l.Addrs(), " "))
	go func() { // it ends with the process: nothing interrupts a read of standard input
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			l.SendCommand(in.Text())
		}
	}()
	return l.Wait()
}

type serverCmd struct {
	standinFlags
	Listen   string  `required:"" help:"Where it listens." placeholder:"HOST:PORT"`
	EP       uint32  `required:"" help:"Its number on the list." placeholder:"N"`
	Capacity float64 `help:"RPCs a second when warm." default:"30"`
	Workers  int     `help:"RPCs that run at once." default:"2"`
	Queue    int     `help:"RPCs that may wait." default:"30"`
	Work     string  `help:"How RPCs' work is distributed: exponential, fixed, lognormal:CV or pareto:EXPONENT." default:"exponential"`
	Cold     bool    `help:"It starts cold."`
	Settings string  `help:"The fleet's settings, for how cold servers warm and fall." placeholder:"FILE"`
}

func (c serverCmd) Run(ctx context.Context, p *program) error {
	work, err := emulator.ParseWork(c.Work, float64(c.Workers)/c.Capacity)
	if err != nil {
		return err
	}
	t := emulator.Config{
		Backend: c.EP, Cores: c.Workers, Speed: 1, Work: []emulator.Work{work}, QueueLimit: c.Queue, CancelPolicy: emulator.DropQueued,
		StartsCold: c.Cold, ProbeWork: work.Mean / 10, ConnWork: work.Mean / 10, Seed: c.Seed, KeyStore: &emulator.KeyStore{},
	}
	if c.Settings != "" {
		s, err := bootstrap.Read(c.Settings)
		if err != nil {
			return badError{err}
		}
		b := s.CoordinatorConfig(0)
		t.ColdSpeed, t.WarmupTime = b.Settings.ColdShare.Or(1), b.Settings.WarmAfter.Or(0)
		t.OverloadMultiple, t.OverloadWindow = b.Settings.FallMultiple.Or(0), b.Settings.FallWindow.Or(0)
	}
	return c.run(ctx, p, fmt.Sprint("server-", c.EP), emulator.NewBackend(t), c.Listen)
}

type listCmd struct {
	standinFlags
	Listen  string   `required:"" help:"Where it listens." placeholder:"HOST:PORT"`
	Servers []string `arg:"" help:"Servers, each as NUMBER,ZONE,WEIGHT,HOST:PORT."`
}

func (c listCmd) Run(ctx context.Context, p *program) error {
	var all []fake.Endpoint
	for _, s := range c.Servers {
		f := strings.Split(s, ",")
		if len(f) != 4 {
			return fmt.Errorf("server %q is not NUMBER,ZONE,WEIGHT,HOST:PORT", s)
		}
		ep, err := strconv.ParseUint(f[0], 10, 32)
		if err != nil {
			return fmt.Errorf("server %q: %w", s, err)
		}
		w, err := bootstrap.ParseNumber(f[2])
		if err != nil {
			return fmt.Errorf("server %q: weight %w", s, err)
		}
		all = append(all, fake.Endpoint{Backend: proto.BackendID(ep), State: proto.BackendOpen, Zone: f[1], Weight: w, Addr: f[3], Incarnation: 1})
	}
	return c.run(ctx, p, "list", fake.NewEndpointService(all), c.Listen)
}

type frontendCmd struct {
	standinFlags
	Settings    string   `required:"" help:"The fleet's settings." placeholder:"FILE"`
	Coordinator []string `required:"" help:"Where coordinators are reached, the first preferred." placeholder:"HOST:PORT"`
	Name        string   `required:"" help:"Its name." placeholder:"NAME"`
	Zone        string   `help:"Its zone; none: the first of the settings." placeholder:"ZONE"`
	Rate        float64  `help:"RPCs a second." default:"10"`
}

func (c frontendCmd) Run(ctx context.Context, p *program) error {
	s, err := bootstrap.Read(c.Settings)
	if err != nil {
		return badError{err}
	}
	b := s.CoordinatorConfig(0)
	if c.Zone == "" {
		if zones := b.Settings.Zones; len(zones) > 0 {
			c.Zone = zones[0]
		}
	}
	t := fake.FrontEndConfig{
		Name: c.Name, Zone: c.Zone, Coordinators: c.Coordinator, Rate: c.Rate, Policy: b.Settings.Pick,
		FailureLimit: int(b.Settings.Strikes.Or(0)), AvoidFor: 5, AttemptTimeout: b.Settings.TryWait.Or(0.8), ApplyTimePerEntry: 0.0002,
		AdmissionIsRate: b.Settings.LevelKind == "rate", ReportPeriod: b.Settings.ReportPeriod.Or(1), ConnectTimeout: 0.25, Seed: c.Seed,
		Methods: fake.MethodConfigs(b.Settings.Methods),
	}
	return c.run(ctx, p, c.Name, fake.NewFrontEnd(t))
}
