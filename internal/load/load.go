// Package load asks for RPCs, open loop: when each is due is drawn beforehand, whatever became of those before, and its
// time counts from then. It plays the clients of so many proxies, which follow a coordinator's tables or have one fixed
// table, and says so when it falls behind itself.
package load

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/proto"
	"gingerfork/internal/report"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

// Bootstrap is what a run is started with.
type Config struct {
	FrontEnd      fake.FrontEndConfig // what all proxies are; Name, Rate, Coordinators and Seed are set for each
	Methods       []invariant.Method
	Proxies       int
	Zones         []string // that they are of, by turns
	Rate          float64  // RPCs a second of all together
	RateVariation float64  // coefficient of variation of the proxies' rates
	Coordinators  []string // coordinators, or
	Backends      []string // servers of one table
	Duration      time.Duration
	EventLoops    int // 0: one a core
	Seed          uint64
	OnSecond      func(second int, s report.Second) // each second's figures once it is over
}

// Check tells what can't be done.
func (b Config) Validate() error {
	switch {
	case b.Proxies < 1 || b.Proxies > 10000:
		return fmt.Errorf("%d proxies: 1 to 10000 go", b.Proxies)
	case !(b.Rate > 0):
		return fmt.Errorf("a rate of %v RPCs a second: above 0 wanted", b.Rate)
	case b.Duration <= 0:
		return errors.New("no time to run for")
	case len(b.Coordinators) == 0 == (len(b.Backends) == 0):
		return errors.New("either coordinators or servers must be given, not both")
	}
	return b.FrontEnd.Shape.Validate()
}

// Run asks until the time is over or ctx ends, and gives what came of it.
func Run(ctx context.Context, b Config) (*report.Report, error) {
	if err := b.Validate(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	maker := report.NewMaker(b.Methods)
	var bad error
	take := func(all []trace.Record) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range all {
			if err := maker.Add(r); err != nil && bad == nil {
				bad = err
			}
		}
	}
	clock := eventloop.NewClock()
	rates := traffic.LognormalFactors(b.Proxies, b.RateVariation, b.Seed)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := b.EventLoops
	if n <= 0 {
		n = runtime.GOMAXPROCS(0)
	}
	n = min(n, b.Proxies)
	var fixed []proto.TableEntry
	for i, addr := range b.Backends {
		fixed = append(fixed, proto.TableEntry{Backend: proto.BackendID(i + 1), Weight: 1, Addr: addr})
	}
	var loops []*eventloop.Loop
	var err error
	for k := range n {
		crowd := fake.NewMultiplexer()
		for i := k; i < b.Proxies; i += n {
			t := b.FrontEnd
			t.Name = fmt.Sprint("load-", i)
			t.Rate = b.Rate / float64(b.Proxies) * rates[i]
			t.Seed = fake.DeriveSeed(b.Seed, t.Name)
			t.RecordDelay, t.StaticTable = true, fixed
			t.TrafficStart = clock.Now()
			if len(b.Zones) > 0 {
				t.Zone = b.Zones[i%len(b.Zones)]
			}
			for j := range b.Coordinators {
				t.Coordinators = append(t.Coordinators, b.Coordinators[(i+j)%len(b.Coordinators)])
			}
			crowd.Add(t.Name, fake.NewFrontEnd(t), 0)
		}
		var l *eventloop.Loop
		if l, err = eventloop.Start(inner, eventloop.Bootstrap{Machine: crowd, Clock: clock, Trace: take}); err != nil {
			err = fmt.Errorf("start the proxies: %w", err)
			break
		}
		loops = append(loops, l)
	}
	if err == nil {
		err = wait(ctx, b, loops, func(second int) (report.Second, bool) {
			mu.Lock()
			defer mu.Unlock()
			if second < len(maker.Report.Seconds) {
				return maker.Report.Seconds[second], true
			}
			return report.Second{}, false
		})
	}
	cancel()
	for _, l := range loops {
		if e := l.Wait(); err == nil && e != nil {
			err = fmt.Errorf("the proxies: %w", e)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if err == nil {
		err = bad
	}
	return maker.Done(), err
}

func wait(ctx context.Context, b Config, loops []*eventloop.Loop, look func(int) (report.Second, bool)) error {
	over := time.NewTimer(b.Duration)
	defer over.Stop()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	second := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-over.C:
			return nil
		case <-beat.C:
			if s, ok := look(second); ok && b.OnSecond != nil {
				b.OnSecond(second, s)
			}
			second++
			for _, l := range loops {
				select {
				case <-l.Done():
					return errors.New("proxies ended by themselves")
				default:
				}
			}
		}
	}
}
