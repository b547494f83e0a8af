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
	// auxiliaryWorkDivisor is the ratio of the mean work of an RPC to the work of answering a health probe or accepting a
	// connection.
	auxiliaryWorkDivisor = 10
	// maxProbes is the number of health probes that a backend serves at once.
	maxProbes = 10
)

// initialEndpoints returns the endpoints that the endpoint list service knows at the start. addressOf returns the address of a
// backend.
func (p *player) initialEndpoints(addressOf func(*participant) string) []fake.Endpoint {
	endpoints := make([]fake.Endpoint, 0, len(p.backends))
	for _, backend := range p.backends {
		endpoints = append(endpoints, fake.Endpoint{
			Backend: backend.backend, State: proto.BackendOpen, Kind: backend.kind, Zone: backend.zone, Weight: backend.group.Weight,
			Addr: addressOf(backend), Incarnation: 1,
		})
	}
	return endpoints
}

// newBackend makes the next incarnation of an emulated backend. All incarnations but the first start cold.
func (p *player) newBackend(backend *participant, store *emulator.IdempotencyKeyStore) *emulator.Backend {
	backend.incarnations++
	config := p.backendConfig(backend, store)
	config.StartsCold = backend.incarnations > 1
	config.Seed += uint64(backend.incarnations)
	config.SampleInterval = p.sampleInterval
	return emulator.NewBackend(config)
}

// backendConfig returns the configuration of a backend, from its group and the settings.
func (p *player) backendConfig(backend *participant, store *emulator.IdempotencyKeyStore) emulator.Config {
	settings, group := p.scenario.decodedSettings(), backend.group
	work := group.Work
	work.Mean = float64(group.Workers) / group.Capacity
	return emulator.Config{
		Backend: backend.backend, Zone: backend.zone, Cell: group.Cell, Seed: fake.DeriveSeed(p.scenario.Seed, backend.name),
		Cores: group.Workers, Speed: 1, Work: []emulator.Work{work}, QueueLimit: group.Queue, CancelPolicy: group.CancelMode,
		ColdSpeed: settings.ColdCapacityShare.Or(0.3), WarmupTime: settings.WarmupDuration.Or(10),
		OverloadMultiple: settings.CollapseLoadMultiple.Or(3), OverloadWindow: settings.CollapseWindow.Or(1),
		ProbeWork: work.Mean / auxiliaryWorkDivisor, ProbeLimit: maxProbes,
		ConnWork: work.Mean / auxiliaryWorkDivisor, ConnLimit: group.MaxConnections,
		ReportsLoad: group.Reports, ReportDelay: group.ReportDelay, ReportNoise: group.ReportNoise,
		CacheSize: group.CacheKeys, CacheSavings: group.CacheSaving, IdempotencyKeys: store, Executions: p.executionLog,
	}
}

// newProxy makes the next incarnation of a proxy. The proxy tries the coordinators in turn, starting with that of its own index,
// so that proxies spread over the coordinators.
func (p *player) newProxy(proxy *participant, coordinators []string) *fake.FrontEnd {
	scenario, settings := p.scenario, p.scenario.decodedSettings()
	order := make([]string, 0, len(coordinators))
	for i := range coordinators {
		order = append(order, coordinators[(proxy.index+i)%len(coordinators)])
	}
	proxy.incarnations++
	policy := settings.PickPolicy
	if proxy.policy != "" {
		policy = proxy.policy
	}
	return fake.NewFrontEnd(fake.FrontEndConfig{
		Name: proxy.name, Zone: proxy.zone, Coordinators: order, Methods: scenario.proxyMethods(),
		Rate: proxy.rate, Policy: policy, TrafficStart: p.startTime, Shape: scenario.Shape, Keys: scenario.Keys,
		FailureLimit: int(settings.AvoidAfterFailures.Or(0)), AvoidDuration: scenario.EjectionTime, AttemptTimeoutRatio: settings.AttemptTimeoutShare.Or(0.8),
		ApplyTimePerEntry: scenario.EntryApplyTime, AdmissionIsRate: settings.LevelKind == "rate", ReportPeriod: settings.ReportPeriod.Or(1),
		RecordScheduleDelay: p.sampleInterval > 0, ConnectTimeout: scenario.ConnectTimeout,
		ClientRetryProbability: scenario.ClientRetryShare, ClientRetryBackoff: scenario.ClientRetryDelay, ClientRetryLimit: scenario.ClientRetryMax,
		Seed: fake.DeriveSeed(scenario.Seed, proxy.name) + uint64(proxy.incarnations),
	})
}

// newIdempotencyStore makes the store of idempotency keys that backends share. It keeps keys for the longest deduplication window
// of all methods.
func (p *player) newIdempotencyStore() *emulator.IdempotencyKeyStore {
	store := &emulator.IdempotencyKeyStore{Scope: p.scenario.IdempotencyScope}
	for _, method := range p.scenario.decodedSettings().Methods {
		store.Window = max(store.Window, method.TokenWindow.Or(0))
	}
	return store
}

// coordinatorConfig returns the configuration of the next incarnation of a coordinator, which differs from earlier ones in its
// seed.
func (p *player) coordinatorConfig(target *participant, now statemachine.Seconds, listAddress string) coordinator.Bootstrap {
	settings := p.scenario.Settings
	values := maps.Clone(settings.Values)
	maps.Copy(values, p.overrides)
	values["zone"], values["self"], values["coordinators"] = target.zone, float64(target.index), float64(p.scenario.Coordinators)
	module := settings.CoordinatorConfig(now)
	module.Settings = choice.DecodeSettings(values)
	target.incarnations++
	module.Seed = fake.DeriveSeed(p.scenario.Seed, target.name) + uint64(target.incarnations)
	return coordinator.Bootstrap{
		Name: target.name, Zone: target.zone, EndpointListAddr: listAddress, ModuleConfig: module, HandshakeTimeout: settings.Number("handshake"),
		ProxyIdleTimeout: settings.Number("stream-silence"), EndpointListIdleTimeout: settings.Number("list-silence"), ProbeTimeout: settings.Number("probe-timeout"),
		MaxStreams: int(settings.Number("streams")), MaxProbes: int(settings.Number("probes-at-once")),
	}
}
