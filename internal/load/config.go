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

// maxProxies bounds the proxies of one run.
const maxProxies = 10000

// errConfig is wrapped by the errors of Validate that are not those of the traffic's shape.
var errConfig = errors.New("invalid load configuration")

// Config configures a run of the load generator.
type Config struct {
	FrontEnd      fake.FrontEndConfig // of every proxy; Name, Zone, Rate, Coordinators and Seed are set for each
	Methods       []invariant.Method
	Proxies       int
	Zones         []string      // assigned to the proxies in turn; may be empty
	Rate          float64       // RPCs a second of all proxies together
	RateVariation float64       // coefficient of variation of the proxies' rates
	Coordinators  []string      // addresses; empty if Backends are given
	Backends      []string      // addresses in a static table; empty if Coordinators are given
	Duration      time.Duration // of the run
	EventLoops    int           // 0: one a core
	Seed          uint64
	OnSecond      func(second int, figures report.Second) // gets each second's figures once it is over; nil: nobody does
}

// Validate tells what is wrong with a configuration.
func (c Config) Validate() error {
	switch {
	case c.Proxies < 1 || c.Proxies > maxProxies:
		return fmt.Errorf("%w: want 1 to %d proxies, got %d", errConfig, maxProxies, c.Proxies)
	case !(c.Rate > 0):
		return fmt.Errorf("%w: want a rate above 0 RPCs a second, got %v", errConfig, c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("%w: want a duration above 0, got %v", errConfig, c.Duration)
	case len(c.Coordinators) == 0 == (len(c.Backends) == 0):
		return fmt.Errorf("%w: want either coordinators or servers, got %d and %d", errConfig, len(c.Coordinators), len(c.Backends))
	}
	return c.FrontEnd.Shape.Validate()
}

func (c Config) eventLoopCount() int {
	count := c.EventLoops
	if count <= 0 {
		count = runtime.GOMAXPROCS(0)
	}
	return min(count, c.Proxies)
}

// staticTable is a table of the backends with equal weights; nil if the proxies follow coordinators.
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

// proxy configures one proxy, with its factor of the mean rate.
func (c Config) proxy(index int, rateFactor float64) fake.FrontEndConfig {
	proxy := c.FrontEnd
	proxy.Name = fmt.Sprint("load-", index)
	proxy.Rate = c.Rate / float64(c.Proxies) * rateFactor
	proxy.Seed = fake.DeriveSeed(c.Seed, proxy.Name)
	proxy.RecordScheduleDelay = true
	proxy.StaticTable = c.staticTable()
	if len(c.Zones) > 0 {
		proxy.Zone = c.Zones[index%len(c.Zones)]
	}
	// Each proxy begins with another coordinator, so that they share the proxies.
	for i := range c.Coordinators {
		proxy.Coordinators = append(proxy.Coordinators, c.Coordinators[(index+i)%len(c.Coordinators)])
	}
	return proxy
}
