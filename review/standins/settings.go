package main

// regional returns the settings of a small deployment, with the figures that the brief and the site file of
// homework-regional give.
func regional(zones []string, zone string, self, coordinators, proxies int) map[string]any {
	return map[string]any{
		"Az": zone, "Zones": zones, "SelfIndex": self, "GroupSize": coordinators, "RoundMs": 4.0, "Family": "control",
		"Discovery": "on_request", "Kinds": []string{"std-4core"}, "WeightKind": "nominal", "WorthBy": "request",
		"Bounds": map[string]any{
			"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "CpuUsPerS": 400000, "Peers": false, "Probes": true, "StreamsPerConn": 100,
		},
		"FamilyInfo": map[string]any{
			"ClassOwnZone": []bool{false, false, false}, "ConnsLeast": 160.0, "DefaultSize": 6, "HandoverFee": 0.0, "IngestRate": 200.0,
			"KeepsWritingMs": 2500.0, "LevelKind": "ratio", "LinesPerS": 2400.0, "LingersMs": 4020.0, "LocalFirst": false,
			"MostWaiting": 2400.0, "Mutating": []bool{false, true, true}, "OrderPrice": 0.04, "PartitionsN": 0, "PerMessage": 6.0,
			"PeriodMs": 1000.0, "ProxyCount": proxies, "PushDelayMs": 200.0, "ReloadSpanMs": 10000.0, "ReloadsMax": 20, "SelectsBy": "wheel",
			"SoleOwner": false, "Strikes": 3, "TryAims": 0.8, "UnservedMaxMs": 3700.0, "UsualHow": 1, "WaitsForTableMs": 300.0,
			"WorstTransitMs": 500.0,
		},
		"Feedback":  map[string]any{"Columns": []string{"inflight"}, "Source": "probe"},
		"ResultMix": map[string]any{"Whole": 0.7, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.2},
		"Obligations": map[string]any{
			"AskWithinMs": 10000.0, "ColdShare": 0.16, "DrainGraceMs": 1500.0, "FallMultiple": 4.0, "OverloadForMs": 1500.0, "WarmAfterMs": 14000.0,
		},
		"Penalties": map[string]any{"Connection": 0.02, "CrossZone": 0.12, "Handshake": 0.02, "LateFail": 0.05, "Probe": 0.02, "Waste": 0.05},
		"Profiles": []any{
			profile("open-task", "idempotent", 2000, 6000, 3), profile("save-draft", "deduplicated", 1200, 4000, 2),
			profile("submit-final", "at_most_once", 2000, 6000, 2),
		},
	}
}

func profile(name, effect string, aimMs, deadlineMs, worth float64) map[string]any {
	return map[string]any{
		"Name": name, "Effect": effect, "Group": "all", "AimMs": aimMs, "DeadlineMs": deadlineMs, "RepeatWindowMs": 8000.0,
		"Worth": worth, "LateWorth": 0.1,
	}
}

func nodeConfig(n *node, limits, settings map[string]any, known answer) map[string]any {
	return map[string]any{
		"name": n.name, "listen": n.listen, "discovery": n.discovery, "seed": "8c1f30d27a5be964", "limits": limits, "known": known, "settings": settings,
	}
}

// metro returns the settings of a small deployment with the figures of distance-ed-metro, whose classes keep to the proxy's
// zone.
func metro(zones []string, proxies int) map[string]any {
	settings := regional(zones, zones[0], 0, 1, proxies)
	info := settings["FamilyInfo"].(map[string]any)
	for name, value := range map[string]any{
		"ClassOwnZone": []bool{true, true, true}, "ConnsLeast": 150.0, "DefaultSize": 10, "IngestRate": 1000.0, "LevelKind": "rps",
		"LinesPerS": 8200.0, "MostWaiting": 12300.0, "PerMessage": 10.0, "PushDelayMs": 200.0, "SelectsBy": "lottery", "Strikes": 0, "TryAims": 1.0,
		"UsualHow": 0, "WorstTransitMs": 500.0,
	} {
		info[name] = value
	}
	settings["Kinds"] = []string{"fast-box"}
	settings["RoundMs"] = 2.0
	settings["Feedback"] = map[string]any{"Columns": []string{"rif"}, "Source": "answers"}
	settings["Obligations"] = map[string]any{
		"AskWithinMs": 10000.0, "ColdShare": 0.18, "DrainGraceMs": 2000.0, "FallMultiple": 3.0, "OverloadForMs": 2000.0, "WarmAfterMs": 17000.0,
	}
	settings["Profiles"] = []any{
		profile("open-pack", "idempotent", 2000, 6000, 1), profile("save-workbook", "deduplicated", 1200, 4000, 2),
		profile("lodge-assignment", "at_most_once", 1500, 4000, 3),
	}
	settings["Profiles"].([]any)[1].(map[string]any)["Group"] = "cell"
	return settings
}
