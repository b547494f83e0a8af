// Package scenario plays scenarios: a fleet, its traffic, and the faults that happen to it, read from a script. The same
// script plays on sockets, with every coordinator in a process of its own, and in virtual time over a simulated network.
// docs/days.md describes the scripts.
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

// Scenario is a script that was read. Times are in seconds.
type Scenario struct {
	Name         string
	SettingsFile string // as the script names it
	Settings     *bootstrap.Settings
	Duration     float64
	Seed         uint64
	Coordinators int
	Backends     []BackendGroup
	Proxies      []ProxyGroup
	Steps        []Step

	EntryApplyTime     float64 // a proxy needs so long to apply one table entry
	ConnectTimeout     float64 // of proxies
	EjectionTime       float64 // a proxy avoids a backend for so long after consecutive failures
	ExitDetectionDelay float64 // until the endpoint list service knows that a backend's process ended
	ZoneLatency        float64 // of the simulated network, within a zone
	CrossZoneLatency   float64 // and between zones

	MethodMix        []float64 // share of each method in the traffic
	ClientRetryShare float64   // share of clients that send a failed RPC again
	ClientRetryDelay float64   // about how long they wait, doubled with each retry
	ClientRetryMax   int       // retries of one RPC
	Shape            traffic.Shape
	Keys             *traffic.Zipf
	IdempotencyScope emulator.IdempotencyScope // which backends share their idempotency keys

	settingsLines []bootstrap.Line
}

// BackendGroup is a number of equal backends.
type BackendGroup struct {
	Count          int
	Zone           string // "": the zones in turn
	Kind           string
	Capacity       float64 // RPCs a second
	Workers        int
	Queue          int // RPCs that may wait
	Weight         float64
	Work           emulator.Work
	CancelMode     emulator.CancelPolicy
	Cell           int
	MaxConnections int
	Reports        bool    // replies carry load reports,
	ReportDelay    float64 // that are so many seconds old,
	ReportNoise    float64 // and off by this share
	CacheKeys      int
	CacheSaving    float64 // share of the work that a cached key saves
}

// ProxyGroup is a number of equal proxies.
type ProxyGroup struct {
	Count         int
	Zone          string  // "": the zones in turn
	Rate          float64 // RPCs a second of each
	RateVariation float64 // coefficient of variation of their rates
	BackendPolicy string  // "": as the settings say
}

// Scale multiplies the numbers of backends and proxies by a factor; each group keeps one at least. A deploy takes as long
// as before.
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

// Limits returns the figures of the service rules, from the settings.
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

// proxyMethods returns the methods as the proxies know them.
func (s *Scenario) proxyMethods() []fake.MethodConfig {
	methods := fake.MethodConfigs(s.decodedSettings().Methods)
	for i := range methods {
		methods[i].Share = s.MethodMix[i]
	}
	return methods
}
