// Package scenario reads scripts and plays the scenarios that they describe: a fleet, its traffic, and faults and operations at
// given times. The same script can be played in real time on sockets, with each coordinator as a process of its own, and in
// virtual time over a simulated network. docs/days.md describes the scripts.
package scenario

import (
	"math"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/traffic"
)

// Scenario is the content of a script. Times are in seconds.
type Scenario struct {
	Name         string
	SettingsFile string // name of the settings file, as given in the script
	Settings     *bootstrap.Settings
	Duration     float64
	Seed         uint64
	Coordinators int
	Backends     []BackendGroup
	Proxies      []ProxyGroup
	Steps        []Step

	EntryApplyTime     float64 // time that a proxy takes to apply one table entry
	ConnectTimeout     float64 // time after which a proxy gives up connecting to a backend
	EjectionTime       float64 // time for which a proxy avoids a backend after consecutive failures
	ExitDetectionDelay float64 // time after which the endpoint list service learns that a backend's process ended
	ZoneLatency        float64 // latency of the simulated network within a zone
	CrossZoneLatency   float64 // latency of the simulated network between zones

	MethodMix        []float64                 // by method: share of the RPCs of clients
	ClientRetryShare float64                   // share of the failed RPCs that clients send again
	ClientRetryDelay float64                   // approximate time before the first retry, doubled with each further one
	ClientRetryMax   int                       // retries per RPC
	Shape            traffic.Shape             // variation of the request rate over time
	Keys             *traffic.Zipf             // distribution of the RPCs' keys; nil: RPCs have no keys
	IdempotencyScope emulator.IdempotencyScope // which backends share a store of idempotency keys

	settingsLines []bootstrap.Line
}

// BackendGroup is a number of backends with the same properties.
type BackendGroup struct {
	Count          int
	Zone           string // "": assigned to all zones in turn
	Kind           string
	Capacity       float64       // RPCs per second, when warm
	Workers        int           // RPCs that a backend executes at once
	Queue          int           // RPCs that may wait for a worker
	Weight         float64       // weight of a backend in the endpoint list
	Work           emulator.Work // distribution of the work of an RPC; its mean follows from Workers and Capacity
	CancelMode     emulator.CancelPolicy
	Cell           int     // group of backends that may share idempotency keys, see IdempotencyScope
	MaxConnections int     // 0: unlimited
	Reports        bool    // whether replies carry load reports
	ReportDelay    float64 // age of the load in these reports, in seconds
	ReportNoise    float64 // coefficient of variation of the error of the load in these reports
	CacheKeys      int     // keys that a backend's cache holds; 0: no cache
	CacheSaving    float64 // share of the work that a cache hit saves
}

// ProxyGroup is a number of proxies with the same properties, apart from their rates.
type ProxyGroup struct {
	Count         int
	Zone          string  // "": assigned to all zones in turn
	Rate          float64 // mean rate of a proxy, in RPCs per second
	RateVariation float64 // coefficient of variation of the proxies' rates
	BackendPolicy string  // how the proxies choose backends; "": as the settings say
}

// Scale multiplies the numbers of backends and proxies by a factor, also those that steps select; each group keeps at least one.
// It divides the interval that a deploy step gives by the factor, so that the deploy takes about as long as before.
func (s *Scenario) Scale(factor float64) {
	for i := range s.Backends {
		s.Backends[i].Count = scaleCount(s.Backends[i].Count, factor)
	}
	for i := range s.Proxies {
		s.Proxies[i].Count = scaleCount(s.Proxies[i].Count, factor)
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		step.Selector.Count = int(math.Ceil(float64(step.Selector.Count) * factor))
		if step.Deploy.IntervalGiven {
			step.Deploy.Interval /= factor
		}
	}
}

func scaleCount(count int, factor float64) int { return max(1, int(float64(count)*factor+0.5)) }

// Zones returns the zones of the settings.
func (s *Scenario) Zones() []string { return s.decodedSettings().Zones }

// Limits returns the limits of the service rules that the settings give.
func (s *Scenario) Limits() invariant.Limits {
	settings := s.decodedSettings()
	limits := invariant.Limits{
		NoBackendLimit:        settings.MaxTimeWithoutEntry.Or(1),
		DrainGrace:            settings.DrainGrace.Or(1),
		WarmAfter:             settings.WarmupDuration.Or(1),
		CollapseWindow:        settings.CollapseWindow.Or(1),
		MaxQueuedEntries:      int(settings.MaxChannelLines.Or(0)),
		MaxMessages:           int(settings.MessageLimit.Or(0)),
		MessageWindow:         settings.MessageLimitSpan.Or(10),
		EndpointStreamTimeout: s.Settings.Number("list-silence"),
		PollInterval:          settings.MaxPollInterval.Or(10),
		OnlyDrainingBinds:     settings.ExcludeOnlyDraining,
	}
	for i, name := range s.Settings.Methods {
		method := settings.Methods[i]
		limits.Methods = append(limits.Methods, invariant.Method{
			Name:              name,
			NonIdempotent:     method.Effect == "non-idempotent",
			HasIdempotencyKey: method.Effect == "tokened",
			DedupWindow:       method.TokenWindow.Or(0),
			Criticality:       method.Criticality.Or(1),
			SoftDeadline:      method.SoftDeadline.Or(1),
		})
	}
	return limits
}

// decodedSettings returns the decision module's settings.
func (s *Scenario) decodedSettings() choice.Settings {
	return choice.DecodeSettings(s.Settings.Values)
}

// proxyMethods returns the methods as proxies are configured with them, with their shares of the traffic.
func (s *Scenario) proxyMethods() []fake.MethodConfig {
	methods := fake.MethodConfigs(s.decodedSettings().Methods)
	for i := range methods {
		methods[i].Share = s.MethodMix[i]
	}
	return methods
}
