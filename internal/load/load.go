// Package load is an open-loop load generator: the time at which an RPC is due does not depend on the outcome of earlier RPCs,
// and its latency is measured from that time, so that a slow service does not lower the load that measures it. The generator
// simulates the proxies of a fleet, which follow a coordinator's tables or have a static table. Its report says whether the
// generator itself kept to its schedule.
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

// Run generates load until the duration is over or ctx ends, and returns the report of the run. The report is also returned with
// an error, unless the configuration is invalid.
func Run(ctx context.Context, config Config) (*report.Report, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	results := &resultCollector{builder: report.NewBuilder(config.Methods)}
	// The loops have a context of their own: if they ended with ctx, an interrupted run would look like one whose loops failed.
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
	finished, traceErr := results.finish()
	if err == nil {
		err = traceErr
	}
	return finished, err
}

// startProxies distributes the proxies over event loops and starts them. With an error it returns the loops that were started
// before.
func startProxies(ctx context.Context, config Config, collect func([]trace.Record)) ([]*eventloop.Loop, error) {
	clock := eventloop.NewClock()
	rateFactors := traffic.LognormalFactors(config.Proxies, config.RateVariation, config.Seed)
	count := config.eventLoopCount()
	loops := make([]*eventloop.Loop, 0, count)
	for first := range count {
		proxies := fake.NewMultiplexer()
		for index := first; index < config.Proxies; index += count {
			proxy := config.proxyConfig(index, rateFactors[index])
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

// waitForEnd waits until the run is over and calls the configuration's OnSecond with the figures of each second. It returns an
// error if an event loop ends before the run does.
func waitForEnd(ctx context.Context, config Config, loops []*eventloop.Loop, results *resultCollector) error {
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
		if figures, ok := results.secondFigures(second); ok && config.OnSecond != nil {
			config.OnSecond(second, figures)
		}
		if anyEnded(loops) {
			return errLoopEnded
		}
	}
}

// anyEnded reports whether one of the event loops has ended.
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

// resultCollector builds the report from the trace records of all event loops, which call it concurrently.
type resultCollector struct {
	mutex   sync.Mutex // guards builder and err
	builder *report.Builder
	err     error // first error that the builder returned
}

// add adds trace records to the report.
func (c *resultCollector) add(records []trace.Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range records {
		if err := c.builder.Add(record); err != nil && c.err == nil {
			c.err = err
		}
	}
}

// secondFigures returns the figures of a second of the run. ok is false if nothing was recorded for that second or a later one yet.
func (c *resultCollector) secondFigures(second int) (figures report.Second, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if second >= len(c.builder.Report.Seconds) {
		return report.Second{}, false
	}
	return c.builder.Report.Seconds[second], true
}

// finish returns the completed report, and the first error that adding a record returned.
func (c *resultCollector) finish() (*report.Report, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.builder.Finish(), c.err
}
