package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/load"
	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
	"gingerfork/internal/traffic"
)

var (
	errMethodMix   = errors.New("give one share for each method")
	errLoadTooSlow = errors.New("VOID: the load generator fell behind its schedule")
)

type loadCmd struct {
	Settings      string   `required:"" help:"Settings file of the fleet, for the methods and the way in which proxies pick backends." placeholder:"FILE"`
	Coordinator   []string `help:"Coordinators that the proxies get their tables from; each proxy starts at the next one of the list." placeholder:"HOST:PORT"`
	Backend       []string `aliases:"server" help:"Backends of one static table, instead of coordinators." placeholder:"HOST:PORT"`
	Rate          float64  `help:"RPCs per second of all proxies together." default:"100"`
	Proxies       int      `help:"Number of proxies that send the load." default:"10"`
	RateVariation float64  `aliases:"uneven" help:"Coefficient of variation of the proxies' rates." default:"0"`
	Duration      string   `aliases:"for" help:"Duration of the load." default:"30s" placeholder:"TIME"`
	Mix           []string `help:"Share of the RPCs for each method, in the order of the settings; default: equal shares." placeholder:"SHARE"`
	Swing         string   `aliases:"wave" help:"Amplitude of a periodic swing of the rate, as a share of the rate." placeholder:"SHARE"`
	SwingPeriod   string   `aliases:"over" help:"Period of the swing." default:"60s" placeholder:"TIME"`
	Burst         string   `aliases:"bursts" help:"Rate during bursts, as a percentage of the rate." placeholder:"PERCENT"`
	BurstInterval string   `aliases:"every" help:"Time from the start of one burst to the start of the next." default:"10s" placeholder:"TIME"`
	BurstDuration string   `aliases:"lasting" help:"Duration of a burst." default:"1s" placeholder:"TIME"`
	Keys          int      `help:"Number of cache keys, which RPCs draw from by a Zipf distribution; default: no keys." placeholder:"N"`
	ZipfExponent  float64  `aliases:"zipf" help:"Exponent of the Zipf distribution." default:"1"`
	RetryChance   string   `aliases:"again" help:"Probability that a client retries a failed RPC." placeholder:"SHARE"`
	RetryBackoff  string   `aliases:"after" help:"Approximate backoff before the first retry; it doubles with each further one." default:"100ms" placeholder:"TIME"`
	RetryLimit    int      `aliases:"at-most" help:"Largest number of retries per RPC." default:"2" placeholder:"N"`
	Seed          uint64   `help:"Seed of all random draws." default:"1"`
	JSON          bool     `help:"Print the result as JSON."`
	Plot          string   `aliases:"picture" help:"Plot the result to this PNG file." placeholder:"FILE"`
}

// Run sends the load and prints the report.
func (c loadCmd) Run(ctx context.Context, cli *program) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	line := newProgressLine(cli.out)
	if !c.JSON {
		config.OnSecond = func(second int, figures report.Second) {
			text := fmt.Sprintf("%4d s: %d in time, %d late, %d pushed back, %d aborted; service %.3f", second+1, figures.InTime, figures.Late, figures.Rejected,
				figures.Aborted, figures.Service())
			line.show(text, second%plainProgressSeconds == 0)
		}
	}
	result, err := load.Run(ctx, config)
	line.end()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := plot(c.Plot, "load", result); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(cli.out).Encode(result); err != nil {
			return fmt.Errorf("print the result: %w", err)
		}
	} else {
		fmt.Fprintf(cli.out, "service %.3f\n", result.Service)
		result.WriteText(cli.out)
	}
	if result.ScheduleLag.Invalid() {
		return errLoadTooSlow
	}
	return nil
}

// config returns the configuration of the load generator that the flags and the settings describe.
func (c loadCmd) config() (load.Config, error) {
	settings, err := bootstrap.Read(c.Settings)
	if err != nil {
		return load.Config{}, err
	}
	module := settings.CoordinatorConfig(0)
	frontEnd, err := c.frontEnd(frontEndConfig(&module.Settings))
	if err != nil {
		return load.Config{}, err
	}
	seconds, err := bootstrap.ParseDuration(c.Duration)
	if err != nil {
		return load.Config{}, fmt.Errorf("duration: %w", err)
	}
	config := load.Config{
		FrontEnd:      frontEnd,
		Proxies:       c.Proxies,
		Zones:         append([]string(nil), module.Settings.Zones...),
		Rate:          c.Rate,
		RateVariation: c.RateVariation,
		Coordinators:  c.Coordinator,
		Backends:      c.Backend,
		Duration:      time.Duration(seconds * float64(time.Second)),
		Seed:          c.Seed,
	}
	for _, method := range frontEnd.Methods {
		config.Methods = append(config.Methods, invariant.Method{Name: method.Name, Criticality: method.Criticality, SoftDeadline: method.SoftDeadline})
	}
	return config, nil
}

// frontEnd adds the traffic that the flags describe to the configuration of a front end.
func (c loadCmd) frontEnd(config fake.FrontEndConfig) (fake.FrontEndConfig, error) {
	config.ClientRetryLimit = c.RetryLimit
	if err := c.applyMix(config.Methods); err != nil {
		return config, err
	}
	// flags lists flags whose texts are parsed into numbers in config. The last three describe bursts.
	flags := []struct {
		name  string
		text  string
		parse func(string) (float64, error)
		value *float64
	}{
		{"swing", c.Swing, scenario.ParsePercent, &config.Shape.DailySwing},
		{"swing-period", c.SwingPeriod, bootstrap.ParseDuration, &config.Shape.DayLength},
		{"retry-chance", c.RetryChance, scenario.ParsePercent, &config.ClientRetryProbability},
		{"retry-backoff", c.RetryBackoff, bootstrap.ParseDuration, &config.ClientRetryBackoff},
		{"burst", c.Burst, scenario.ParsePercent, &config.Shape.BurstFactor},
		{"burst-interval", c.BurstInterval, bootstrap.ParseDuration, &config.Shape.BurstInterval},
		{"burst-duration", c.BurstDuration, bootstrap.ParseDuration, &config.Shape.BurstLength},
	}
	if c.Burst == "" {
		flags = flags[:len(flags)-3] // without --burst, drop burst, burst-interval and burst-duration: the traffic has no bursts
	}
	for _, flag := range flags {
		if flag.text == "" {
			continue
		}
		value, err := flag.parse(flag.text)
		if err != nil {
			return config, fmt.Errorf("%s: %w", flag.name, err)
		}
		*flag.value = value
	}
	if c.Keys <= 0 {
		return config, nil
	}
	keys, err := traffic.NewZipf(c.Keys, c.ZipfExponent)
	config.Keys = keys
	return config, err
}

// applyMix sets each method's share of the RPCs from --mix.
func (c loadCmd) applyMix(methods []fake.MethodConfig) error {
	if len(c.Mix) == 0 {
		return nil
	}
	if len(c.Mix) != len(methods) {
		return fmt.Errorf("mix has %d shares, the settings have %d methods: %w", len(c.Mix), len(methods), errMethodMix)
	}
	for i, text := range c.Mix {
		share, err := bootstrap.ParseShare(text)
		if err != nil {
			return fmt.Errorf("mix: %w", err)
		}
		methods[i].Share = share
	}
	return nil
}
