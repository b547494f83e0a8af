package scenario

import (
	"errors"
	"fmt"
	"slices"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/traffic"
)

// Upper bounds of numbers in scripts; maxRateVariation is that of a coefficient of variation.
const (
	maxGroupSize     = 100000
	maxCount         = 1e6
	maxWorkers       = 10000
	maxRateVariation = 10
	maxClientRetries = 100
)

// backendPolicies are the values of the option pick: how proxies choose among the backends of a table.
var backendPolicies = []string{"even", "lottery", "pair", "report"}

// cancelModes are the values of the option give-up: what a backend does with a cancelled RPC.
var cancelModes = []namedValue[emulator.CancelPolicy]{
	{"runs-on", emulator.IgnoreCancel}, {"skips-wait", emulator.DropQueued}, {"stops", emulator.CancelRunning},
}

// idempotencyScopes are the values of the statement tokens: which backends share their idempotency keys.
var idempotencyScopes = []namedValue[emulator.IdempotencyScope]{
	{"all", emulator.AllBackends}, {"zone", emulator.PerZone}, {"cell", emulator.PerCell}, {"server", emulator.PerBackend},
}

// readClients reads a line of the form: clients again SHARE after TIME at-most N.
func (s *Scenario) readClients(words []string) error {
	s.ClientRetryDelay, s.ClientRetryMax = 0.1, 2
	return parseOptions(words,
		shareOption("again", &s.ClientRetryShare),
		durationOption("after", &s.ClientRetryDelay),
		integerOption("at-most", &s.ClientRetryMax, 1, maxClientRetries),
	)
}

// readTraffic reads a line of the form: traffic wave SHARE over TIME bursts PERCENT every TIME lasting TIME keys N zipf EXPONENT.
func (s *Scenario) readTraffic(words []string) error {
	keys, exponent := 0, 1.0
	err := parseOptions(words,
		shareOption("wave", &s.Shape.DailySwing),
		durationOption("over", &s.Shape.DayLength),
		valueOption("bursts", &s.Shape.BurstFactor, ParsePercent),
		durationOption("every", &s.Shape.BurstInterval),
		durationOption("lasting", &s.Shape.BurstLength),
		integerOption("keys", &keys, 1, maxCount),
		numberOption("zipf", &exponent),
	)
	if err != nil {
		return err
	}
	if keys > 0 {
		if s.Keys, err = traffic.NewZipf(keys, exponent); err != nil {
			return err
		}
	}
	if s.Shape.BurstFactor > 0 && s.Shape.BurstInterval == 0 {
		return errors.New("bursts needs every and a time (such as: bursts 150% every 30s)")
	}
	return s.Shape.Validate()
}

// readBackends reads a line of the form: servers N OPTION...
func (s *Scenario) readBackends(words []string) error {
	group := BackendGroup{Kind: "std", Workers: 2, Queue: 30, Weight: 1, Capacity: 20, CancelMode: emulator.DropQueued}
	if len(words) == 0 {
		return errors.New("servers needs their number (such as: servers 4)")
	}
	var err error
	if group.Count, err = bootstrap.ParseInteger(words[0], 1, maxGroupSize); err != nil {
		return err
	}
	err = parseOptions(words[1:],
		textOption("zone", &group.Zone),
		textOption("kind", &group.Kind),
		numberOption("capacity", &group.Capacity),
		integerOption("workers", &group.Workers, 1, maxWorkers),
		integerOption("queue", &group.Queue, 0, maxCount),
		numberOption("weight", &group.Weight),
		valueOption("work", &group.Work, func(value string) (emulator.Work, error) { return emulator.ParseWork(value, 1) }),
		valueOption("give-up", &group.CancelMode, func(value string) (emulator.CancelPolicy, error) { return parseChoice(value, cancelModes) }),
		integerOption("cell", &group.Cell, 0, maxCount),
		integerOption("connections", &group.MaxConnections, 0, maxCount),
		option{"reports", func(value string) (err error) {
			group.Reports = true
			group.ReportDelay, err = bootstrap.ParseDuration(value)
			return err
		}},
		shareOption("noise", &group.ReportNoise),
		integerOption("memory", &group.CacheKeys, 0, maxCount),
		shareOption("saves", &group.CacheSaving),
	)
	if err != nil {
		return err
	}
	s.Backends = append(s.Backends, group)
	return nil
}

// readProxies reads a line of the form: frontends N OPTION...
func (s *Scenario) readProxies(words []string) error {
	group := ProxyGroup{Rate: 10}
	if len(words) == 0 {
		return errors.New("frontends needs their number (such as: frontends 4)")
	}
	var err error
	if group.Count, err = bootstrap.ParseInteger(words[0], 1, maxGroupSize); err != nil {
		return err
	}
	err = parseOptions(words[1:],
		textOption("zone", &group.Zone),
		numberOption("rate", &group.Rate),
		valueOption("uneven", &group.RateVariation, parseRateVariation),
		valueOption("pick", &group.BackendPolicy, parseBackendPolicy),
	)
	if err != nil {
		return err
	}
	s.Proxies = append(s.Proxies, group)
	return nil
}

func parseRateVariation(value string) (float64, error) {
	variation, err := bootstrap.ParseNumber(value)
	if err == nil && variation > maxRateVariation {
		err = fmt.Errorf("%v is more than %d", variation, maxRateVariation)
	}
	return variation, err
}

func parseBackendPolicy(value string) (string, error) {
	if !slices.Contains(backendPolicies, value) {
		return "", fmt.Errorf("%q is none of even, lottery, pair, report", value)
	}
	return value, nil
}

// readMethodMix reads a line of the form: mix SHARE..., with one share for each method of the settings.
func (s *Scenario) readMethodMix(words []string) error {
	for _, word := range words {
		share, err := bootstrap.ParseShare(word)
		if err != nil {
			return err
		}
		s.MethodMix = append(s.MethodMix, share)
	}
	return nil
}

// readLatency reads a line of the form: latency TIME TIME, with the latencies within and between zones.
func (s *Scenario) readLatency(words []string) error {
	if len(words) != 2 {
		return errors.New("latency needs two times, within a zone and between zones (such as: latency 300us 600us)")
	}
	var err error
	if s.ZoneLatency, err = bootstrap.ParseDuration(words[0]); err != nil {
		return err
	}
	s.CrossZoneLatency, err = bootstrap.ParseDuration(words[1])
	return err
}
