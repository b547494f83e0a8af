// Package load is an open-loop load generator: when each RPC is due is drawn beforehand, whatever became of earlier ones,
// and its latency counts from then, so that a slow service does not slow down its own measurement. It plays the proxies of
// a fleet, which follow a coordinator's tables or have a static table, and reports when it could not keep up itself.
package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/report"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

var errLoopEnded = errors.New("an event loop of the proxies ended during the run")

// Run generates load until the duration is over or ctx ends, and reports what came of it, also after an error.
func Run(ctx context.Context, config Config) (*report.Report, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	results := &collector{maker: report.NewBuilder(config.Methods)}
	// The loops don't end with ctx: else an interrupted run looked like one whose loops failed.
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loops, err := startProxies(loopCtx, config, results.add)
	if err == nil {
		err = waitForEnd(ctx, config, loops, results)
	}
	cancel()
	for _, loop := range loops {
		if loopErr := loop.Wait(); err == nil && loopErr != nil {
			err = fmt.Errorf("run the proxies: %w", loopErr)
		}
	}
	done, traceErr := results.done()
	if err == nil {
		err = traceErr
	}
	return done, err
}

// startProxies starts event loops with the proxies. After an error it gives those that were started, too.
func startProxies(ctx context.Context, config Config, collect func([]trace.Record)) ([]*eventloop.Loop, error) {
	clock := eventloop.NewClock()
	rateFactors := traffic.LognormalFactors(config.Proxies, config.RateVariation, config.Seed)
	count := config.eventLoopCount()
	loops := make([]*eventloop.Loop, 0, count)
	for first := range count {
		proxies := fake.NewMultiplexer()
		for index := first; index < config.Proxies; index += count {
			proxy := config.proxy(index, rateFactors[index])
			proxy.TrafficStart = clock.Now()
			proxies.Add(proxy.Name, fake.NewFrontEnd(proxy), 0)
		}
		loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: proxies, Clock: clock, Trace: collect})
		if err != nil {
			return loops, fmt.Errorf("start the proxies: %w", err)
		}
		loops = append(loops, loop)
	}
	return loops, nil
}

// waitForEnd waits until the run is over, gives the figures of each second to the configuration's OnSecond, and fails if a
// loop ends before.
func waitForEnd(ctx context.Context, config Config, loops []*eventloop.Loop, results *collector) error {
	end := time.NewTimer(config.Duration)
	defer end.Stop()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 0; ; second++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end.C:
			return nil
		case <-ticker.C:
		}
		if figures, ok := results.second(second); ok && config.OnSecond != nil {
			config.OnSecond(second, figures)
		}
		if anyEnded(loops) {
			return errLoopEnded
		}
	}
}

func anyEnded(loops []*eventloop.Loop) bool {
	for _, loop := range loops {
		select {
		case <-loop.Done():
			return true
		default:
		}
	}
	return false
}

// collector makes the report of the trace records of all event loops.
type collector struct {
	mutex sync.Mutex
	maker *report.Builder
	err   error // the first
}

func (c *collector) add(records []trace.Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range records {
		if err := c.maker.Add(record); err != nil && c.err == nil {
			c.err = err
		}
	}
}

// second gives the figures of a second; false if nothing happened in it or later yet.
func (c *collector) second(second int) (figures report.Second, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if second >= len(c.maker.Report.Seconds) {
		return report.Second{}, false
	}
	return c.maker.Report.Seconds[second], true
}

func (c *collector) done() (*report.Report, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.maker.Finish(), c.err
}
