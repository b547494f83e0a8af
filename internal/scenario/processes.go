package scenario

import (
	"maps"

	"gingerfork/choice"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

const (
	// auxiliaryWorkDivisor: a probe or a new connection costs so many times less than an RPC.
	auxiliaryWorkDivisor = 10
	// maxProbes is how many probes a backend serves at once.
	maxProbes = 10
)

// initialEndpoints is what the endpoint list service knows at the start; addressOf tells where a backend is reached.
func (p *player) initialEndpoints(addressOf func(*participant) string) []fake.Listing {
	endpoints := make([]fake.Listing, 0, len(p.backends))
	for _, backend := range p.backends {
		endpoints = append(endpoints, fake.Listing{
			EP: backend.backend, State: proto.ServerOpen, Kind: backend.kind, Zone: backend.zone, Weight: backend.group.Weight,
			Addr: addressOf(backend), Stamp: 1,
		})
	}
	return endpoints
}

// newBackend makes the next incarnation of an emulated backend; all but the first start cold.
func (p *player) newBackend(backend *participant, store *emulator.Store) *emulator.Server {
	backend.incarnations++
	config := p.backendConfig(backend, store)
	config.Cold = backend.incarnations > 1
	config.Seed += uint64(backend.incarnations)
	config.Glance = p.sampleInterval
	return emulator.NewServer(config)
}

// backendConfig is what a backend of its group is.
func (p *player) backendConfig(backend *participant, store *emulator.Store) emulator.Trade {
	settings, group := p.scenario.decodedSettings(), backend.group
	work := group.Work
	work.Mean = float64(group.Workers) / group.Capacity
	return emulator.Trade{
		EP: backend.backend, Zone: backend.zone, Cell: group.Cell, Seed: fake.Seed(p.scenario.Seed, backend.name),
		Cores: group.Workers, Speed: 1, Work: []emulator.Work{work}, QueueMost: group.Queue, GiveUp: group.CancelMode,
		ColdShare: settings.ColdShare.Or(0.3), WarmAfter: settings.WarmAfter.Or(10),
		FallMultiple: settings.FallMultiple.Or(3), FallWindow: settings.FallWindow.Or(1),
		ProbeWork: work.Mean / auxiliaryWorkDivisor, ProbesMost: maxProbes,
		ConnWork: work.Mean / auxiliaryWorkDivisor, Connections: group.MaxConnections,
		Reports: group.Reports, ReportLate: group.ReportDelay, ReportNoise: group.ReportNoise,
		Keys: group.CacheKeys, KeySaves: group.CacheSaving, Store: store, Ledger: p.ledger,
	}
}

// newProxy makes the next incarnation of a proxy. It contacts the coordinators in order, from its own index on.
func (p *player) newProxy(proxy *participant, coordinators []string) *fake.FrontEnd {
	scenario, settings := p.scenario, p.scenario.decodedSettings()
	order := make([]string, 0, len(coordinators))
	for i := range coordinators {
		order = append(order, coordinators[(proxy.index+i)%len(coordinators)])
	}
	proxy.incarnations++
	policy := settings.Pick
	if proxy.policy != "" {
		policy = proxy.policy
	}
	return fake.NewFrontEnd(fake.FrontTrade{
		Name: proxy.name, Zone: proxy.zone, Coordinators: order, Methods: scenario.proxyMethods(),
		Rate: proxy.rate, Pick: policy, Begin: p.startTime, Shape: scenario.Shape, Keys: scenario.Keys,
		Strikes: int(settings.Strikes.Or(0)), KeepAway: scenario.EjectionTime, TryWait: settings.TryWait.Or(0.8),
		LineStill: scenario.EntryApplyTime, LevelRate: settings.LevelKind == "rate", Period: settings.ReportPeriod.Or(1),
		Watch: p.sampleInterval > 0, ConnectTimeout: scenario.ConnectTimeout,
		ComeAgain: scenario.ClientRetryShare, AgainWait: scenario.ClientRetryDelay, AgainMost: scenario.ClientRetryMax,
		Seed: fake.Seed(scenario.Seed, proxy.name) + uint64(proxy.incarnations),
	})
}

// newIdempotencyStore makes what backends share of idempotency keys, as the settings' groups allow.
func (p *player) newIdempotencyStore() *emulator.Store {
	store := &emulator.Store{Group: p.scenario.IdempotencyScope}
	for _, method := range p.scenario.decodedSettings().Methods {
		store.Window = max(store.Window, method.Window.Or(0))
	}
	return store
}

// coordinatorConfig is what the next incarnation of a coordinator is started with.
func (p *player) coordinatorConfig(target *participant, now statemachine.Seconds, listAddress string) coordinator.Bootstrap {
	settings := p.scenario.Settings
	values := maps.Clone(settings.Values)
	maps.Copy(values, p.overrides)
	values["zone"], values["self"], values["coordinators"] = target.zone, float64(target.index), float64(p.scenario.Coordinators)
	module := settings.Coordinator(now)
	module.Settings = choice.DecodeSettings(values)
	target.incarnations++
	module.Seed = fake.Seed(p.scenario.Seed, target.name) + uint64(target.incarnations)
	return coordinator.Bootstrap{
		Name: target.name, Zone: target.zone, ListAddr: listAddress, Module: module, Handshake: settings.Num("handshake"),
		Silence: settings.Num("stream-silence"), ListSilence: settings.Num("list-silence"), ProbeTimeout: settings.Num("probe-timeout"),
		MostStreams: int(settings.Num("streams")), MostProbes: int(settings.Num("probes-at-once")),
	}
}
