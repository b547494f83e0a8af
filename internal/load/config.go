package load

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/proto"
	"gingerfork/internal/report"
)

// maxProxies is the maximum number of proxies of one run.
const maxProxies = 10000

// errConfig is wrapped by the errors of Validate, except those of the traffic shape.
var errConfig = errors.New("invalid load configuration")

// Config configures a run of the load generator.
type Config struct {
	FrontEnd      fake.FrontEndConfig // settings of every proxy; Name, Zone, Rate, Coordinators and Seed are set for each proxy
	Methods       []invariant.Method  // methods by which the report is computed
	Proxies       int                 // number of proxies
	Zones         []string            // assigned to the proxies in turn; may be empty
	Rate          float64             // RPCs per second of all proxies together
	RateVariation float64             // coefficient of variation of the proxies' rates
	Coordinators  []string            // addresses; empty if Backends is set
	Backends      []string            // addresses, which go into a static table; empty if Coordinators is set
	Duration      time.Duration       // duration of the run
	EventLoops    int                 // number of event loops; 0: one for each core
	Seed          uint64
	OnSecond      func(second int, figures report.Second) // called with the figures of each second once it is over; nil: not called
}

// Validate returns an error if the configuration is invalid.
func (c Config) Validate() error {
	switch {
	case c.Proxies < 1 || c.Proxies > maxProxies:
		return fmt.Errorf("%w: want 1 to %d proxies, got %d", errConfig, maxProxies, c.Proxies)
	case !(c.Rate > 0):
		return fmt.Errorf("%w: want a rate above 0 RPCs a second, got %v", errConfig, c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("%w: want a duration above 0, got %v", errConfig, c.Duration)
	case len(c.Coordinators) == 0 == (len(c.Backends) == 0):
		return fmt.Errorf("%w: want either coordinators or backends, got %d and %d", errConfig, len(c.Coordinators), len(c.Backends))
	}
	return c.FrontEnd.Shape.Validate()
}

// eventLoopCount returns the number of event loops: as configured, or one for each core, but no more than there are proxies.
func (c Config) eventLoopCount() int {
	count := c.EventLoops
	if count <= 0 {
		count = runtime.GOMAXPROCS(0)
	}
	return min(count, c.Proxies)
}

// staticTable returns a table of the configured backends with equal weights, or nil if the proxies follow coordinators.
func (c Config) staticTable() []proto.TableEntry {
	if len(c.Backends) == 0 {
		return nil
	}
	table := make([]proto.TableEntry, 0, len(c.Backends))
	for i, addr := range c.Backends {
		table = append(table, proto.TableEntry{Backend: proto.BackendID(i + 1), Weight: 1, Addr: addr})
	}
	return table
}

// proxyConfig returns the configuration of one proxy. The rate factor is the proxy's rate as a multiple of the mean rate.
func (c Config) proxyConfig(index int, rateFactor float64) fake.FrontEndConfig {
	proxy := c.FrontEnd
	proxy.Name = fmt.Sprint("load-", index)
	proxy.Rate = c.Rate / float64(c.Proxies) * rateFactor
	proxy.Seed = fake.DeriveSeed(c.Seed, proxy.Name)
	proxy.RecordScheduleDelay = true
	proxy.StaticTable = c.staticTable()
	if len(c.Zones) > 0 {
		proxy.Zone = c.Zones[index%len(c.Zones)]
	}
	// Each proxy's list begins with the next coordinator, which spreads the proxies over the coordinators.
	for i := range c.Coordinators {
		proxy.Coordinators = append(proxy.Coordinators, c.Coordinators[(index+i)%len(c.Coordinators)])
	}
	return proxy
}
