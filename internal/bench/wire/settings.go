package wire

import (
	"strconv"
	"strings"
)

// listIndex stands for any index of a list in the paths and names of settingNames.
const listIndex = "#"

// settingNames maps the path of a setting in the simulator's settings to its name in the flat form of package choice. A #
// stands for an index of a list. A setting that is not listed keeps its path as its name.
var settingNames = map[string]string{
	"Az": "zone", "Zones.#": "zones.#", "Discovery": "listing", "SelfIndex": "self", "GroupSize": "coordinators",
	"RoundMs": "tick", "WeightKind": "weight_kind", "Bounds.Probes": "probes", "Bounds.Peers": "peers",
	"Obligations.DrainGraceMs": "drain_grace", "Obligations.AskWithinMs": "ask_within",
	"Obligations.ColdShare": "cold_share", "Obligations.WarmAfterMs": "warm_after",
	"Obligations.FallMultiple": "fall_multiple", "Obligations.OverloadForMs": "fall_window",
	"Obligations.OnlyDrainingBinds": "only_draining_binds", "FamilyInfo.ClassOwnZone.#": "method.#.own_zone",
	"FamilyInfo.Mutating.#": "method.#.writes", "FamilyInfo.MostWaiting": "channel_room",
	"FamilyInfo.LinesPerS": "channel_pace", "FamilyInfo.PerMessage": "message_lines",
	"FamilyInfo.ReloadsMax": "messages", "FamilyInfo.ReloadSpanMs": "messages_span",
	"FamilyInfo.PushDelayMs": "push_time", "FamilyInfo.WorstTransitMs": "push_time_worst",
	"FamilyInfo.PartitionsN": "slices", "FamilyInfo.ProxyCount": "proxies", "FamilyInfo.LevelKind": "level_kind",
	"FamilyInfo.TryAims": "try_wait", "FamilyInfo.PeriodMs": "report_period",
	"FamilyInfo.UnservedMaxMs": "bare_limit", "FamilyInfo.SoleOwner": "sole_owner",
	"FamilyInfo.UsualHow": "usual_tries", "FamilyInfo.SelectsBy": "pick", "FamilyInfo.Strikes": "strikes",
	"FamilyInfo.ConnsLeast": "connections", "FamilyInfo.OrderPrice": "price.orders",
	"Penalties.CrossZone": "price.crossing", "Penalties.Probe": "price.probe", "Penalties.Waste": "price.waste",
	"Penalties.Connection": "price.connection", "Penalties.Handshake": "price.handshake",
	"Profiles.#.AimMs": "method.#.soft_deadline", "Profiles.#.DeadlineMs": "method.#.deadline",
	"Profiles.#.Effect": "method.#.effect", "Profiles.#.Group": "method.#.group", "Profiles.#.Name": "method.#.name",
	"Profiles.#.RepeatWindowMs": "method.#.window", "Profiles.#.Worth": "method.#.criticality",
}

// settingValues maps values of the simulator to those of package choice, by the last part of the setting's name there. Values
// that are not listed stay as they are.
var settingValues = map[string]map[string]string{
	"effect":     {"at_most_once": "non-idempotent", "deduplicated": "tokened"},
	"level_kind": {"ratio": "share", "rps": "rate"},
	"listing":    {"on_request": "asked"},
}

// FlattenSettings converts the settings of an instance, as decoded from JSON, to the flat form that choice.DecodeSettings
// reads. It maps names to numbers, flags and texts, with times in seconds.
func FlattenSettings(settings map[string]any) map[string]any {
	flat := map[string]any{}
	flatten(flat, settingPath{}, settings)
	return flat
}

// settingPath is the path of a value in the settings.
type settingPath struct {
	parts   []string // object keys and list indexes that lead to the value
	pattern []string // the parts, with listIndex in place of each list index
}

// child returns the path of a value in the object or list at this path.
func (p settingPath) child(part, pattern string) settingPath {
	return settingPath{
		parts:   append(p.parts[:len(p.parts):len(p.parts)], part),
		pattern: append(p.pattern[:len(p.pattern):len(p.pattern)], pattern),
	}
}

// name returns the name of the setting in the flat form, which is its path if settingNames does not have it.
func (p settingPath) name() string {
	pattern := strings.Join(p.pattern, ".")
	if pattern == "Profiles" {
		return "method"
	}
	name, ok := settingNames[pattern]
	if !ok {
		return strings.Join(p.parts, ".")
	}
	for i, part := range p.pattern {
		if part == listIndex {
			name = strings.Replace(name, listIndex, p.parts[i], 1)
		}
	}
	return name
}

// flatten adds the value at a path, with all values in it, to the flat form. For a list it also adds the length, as name.n.
// Times, whose keys end in Ms, are converted to seconds.
func flatten(flat map[string]any, path settingPath, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, member := range value {
			flatten(flat, path.child(key, key), member)
		}
	case []any:
		flat[path.name()+".n"] = float64(len(value))
		for i, item := range value {
			flatten(flat, path.child(strconv.Itoa(i), listIndex), item)
		}
	case float64:
		if strings.HasSuffix(path.parts[len(path.parts)-1], "Ms") {
			value /= millisecondsPerSecond
		}
		flat[path.name()] = value
	case string:
		name := path.name()
		if translated, ok := settingValues[name[strings.LastIndex(name, ".")+1:]][value]; ok {
			value = translated
		}
		flat[name] = value
	default:
		flat[path.name()] = value
	}
}
