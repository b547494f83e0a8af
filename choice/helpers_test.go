package choice

import "maps"

// startTime is the time, in seconds, at which the planners of the tests start.
const startTime Seconds = 100

// testSettings returns settings in the flat form of DecodeSettings, changed by the overrides.
func testSettings(overrides map[string]any) map[string]any {
	settings := map[string]any{
		"listing":         "asked",
		"ask_within":      10.0,
		"cold_share":      0.2,
		"warm_after":      12.0,
		"drain_grace":     2.0,
		"fall_multiple":   3.0,
		"channel_room":    6000.0,
		"channel_pace":    4000.0,
		"message_lines":   10.0,
		"messages":        20.0,
		"messages_span":   10.0,
		"push_time":       0.2,
		"push_time_worst": 0.4,
		"proxies":         6.0,
		"level_kind":      "share",
		"report_period":   1.0,
		"probes":          true,
		"try_wait":        0.8,

		"zones.n": 2.0,
		"zones.0": "a",
		"zones.1": "b",

		"method.n":               3.0,
		"method.0.soft_deadline": 1.0,
		"method.0.criticality":   1.0,
		"method.0.effect":        "idempotent",
		"method.1.effect":        "non-idempotent",
		"method.1.soft_deadline": 1.0,
		"method.1.criticality":   2.0,
		"method.2.effect":        "tokened",
		"method.2.group":         "all",
		"method.2.window":        5.0,
		"method.2.soft_deadline": 1.0,
	}
	maps.Copy(settings, overrides)
	return settings
}

// testConfig returns the configuration of a planner with testSettings, changed by the overrides.
func testConfig(overrides map[string]any) Config {
	return Config{Seed: 7, Now: startTime, Settings: DecodeSettings(testSettings(overrides))}
}

// backendID returns the id of a backend by its number.
func backendID(number int) BackendID { return BackendID(1000 + 77*number) }

// homeZone returns the zone of a backend or a proxy by its number: a or b.
func homeZone(number int) Zone { return Zone("ab"[number%2 : number%2+1]) }

// fullUpdate returns an update to a list of this many open backends, which all started at the given time.
func fullUpdate(backends int, startedAt Seconds) EndpointUpdate {
	update := EndpointUpdate{Kind: UpdateFull}
	for i := range backends {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Backend: backendID(i), State: BackendOpen, StartedAt: startedAt, Zone: homeZone(i), Weight: 2,
		})
	}
	return update
}

// deltaUpdate returns an update with changed endpoints.
func deltaUpdate(endpoints ...Endpoint) EndpointUpdate {
	return EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints}
}

// stateUpdate returns an update of the state of one backend, which is given by its number.
func stateUpdate(number int, state BackendState) EndpointUpdate {
	endpoint := fullUpdate(number+1, 0).Endpoints[number]
	endpoint.State = state
	return deltaUpdate(endpoint)
}

// joinEvents returns the joins of proxies with different usage.
func joinEvents(proxies int) (events []Event) {
	for proxy := range proxies {
		events = append(events, ProxyJoined{ProxyID(proxy), homeZone(proxy), float64(1 + proxy%7), true})
	}
	return events
}

// lowLatencyReports returns reports of low latency at the first backends, each from its own zone.
func lowLatencyReports(backends int) (reports []Event) {
	for i := range backends {
		reports = append(reports, AttemptReport{
			Backend: backendID(i), Zone: homeZone(i), Attempts: 8, MeanLatency: 0.05, Span: 1,
		})
	}
	return reports
}

// tableOwner returns the proxy that has a table.
func tableOwner(table TableID) ProxyID { return ProxyID(table / 2) }

// zoneLocal reports whether a table is for methods whose requests must stay in the proxy's zone.
func zoneLocal(table TableID) bool { return table%2 == 1 }

// countCommands returns the number of commands of one type.
func countCommands[T Command](commands []Command) (count int) {
	for _, command := range commands {
		if _, ok := command.(T); ok {
			count++
		}
	}
	return count
}
