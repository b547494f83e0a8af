// Package wire is the simulator's JSON codec: it turns the wire's names and milliseconds into the module's words and
// seconds, and back. It decides nothing.
package wire

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/choice"
)

const prefix = "coordinator/"

type (
	// Enlist starts an instance.
	Enlist struct {
		Seed   uint64
		Values map[string]any
	}
	// Detach ends an instance.
	Detach struct{}
	// Catalog defines a numbered list.
	Catalog struct {
		Number  int
		Entries []choice.Endpoint
	}
	// Members names a list that a Catalog defined.
	Members struct {
		Kind    choice.UpdateKind
		Version int64
		Number  int
	}
	// Usage names its method as the wire does; the host knows which place that has.
	Usage struct {
		Method string
		Sum    choice.UsageReport
	}
	// SliceUsage is Usage by slice.
	SliceUsage struct {
		Method string
		Sum    choice.SliceReport
	}
)

// Event is one thing that happened, to Inst (empty for a Catalog).
type Event struct {
	Inst string
	Body any
}

// Batch is one line of input.
type Batch struct {
	Now    choice.Seconds
	Events []Event
}

// fields reads the fields of one event and keeps the first trouble met.
type fields struct {
	name string
	m    map[string]json.RawMessage
	err  error
}

func (f *fields) get(key string, into any, need bool) {
	raw, ok := f.m[key]
	switch {
	case f.err != nil:
	case !ok || string(raw) == "null":
		if need {
			f.err = fmt.Errorf("%s: field %s is missing", f.name, key)
		}
	default:
		if err := json.Unmarshal(raw, into); err != nil {
			f.err = fmt.Errorf("%s: field %s is mistyped: %s", f.name, key, raw)
		}
	}
}

func (f *fields) secs(key string) (v choice.Seconds) {
	f.get(key, &v, true)
	return v / 1000
}

func (f *fields) opt(key string) (v choice.Seconds) {
	f.get(key, &v, false)
	return v / 1000
}

func (f *fields) num(key string) (v float64) {
	f.get(key, &v, true)
	return v
}

func (f *fields) whole(key string) (v int64) {
	f.get(key, &v, true)
	return v
}

func (f *fields) flag(key string) (v bool) {
	f.get(key, &v, false)
	return v
}

func (f *fields) text(key string) (v string) {
	f.get(key, &v, true)
	return v
}

func (f *fields) backend() (v choice.BackendID) {
	f.get("Backend", &v, true)
	return v
}

func (f *fields) load() (v []float64) {
	f.get("Gauge", &v, false)
	return v
}

func pick[T any](f *fields, key string, of map[string]T) (v T) {
	word := f.text(key)
	v, ok := of[word]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: field %s has an unknown value %q", f.name, key, word)
	}
	return v
}

var (
	states = map[string]choice.BackendState{"U": choice.BackendOpen, "L": choice.BackendDraining, "D": choice.BackendGone}
	kinds  = map[string]choice.UpdateKind{
		"diff": choice.UpdateDelta, "snapshot": choice.UpdateFull,
		"disk": choice.UpdateCached, "error": choice.UpdateFailed,
	}
	results = map[string]bool{
		"success": true, "failure": false, "overloaded": false, "timed_out": false,
		"unreachable": false, "broken": false, "withdrawn": false, "void": false,
	}
)

// Decode reads one line of input.
func Decode(line []byte) (Batch, error) {
	var in struct {
		TMs      *float64
		Happened *[]map[string]json.RawMessage `json:"happened"`
	}
	err := json.Unmarshal(line, &in)
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typed):
		return Batch{}, fmt.Errorf("not a batch: field %s is mistyped", typed.Field)
	case err != nil:
		return Batch{}, fmt.Errorf("not a batch: %w", err)
	case in.TMs == nil:
		return Batch{}, errors.New("not a batch: field TMs is missing")
	case in.Happened == nil:
		return Batch{}, errors.New("not a batch: field happened is missing")
	}
	b := Batch{Now: *in.TMs / 1000}
	for i, e := range *in.Happened {
		if len(e) != 1 {
			return b, fmt.Errorf("event %d: wants one key, has %d", i, len(e))
		}
		for name, raw := range e {
			ev, err := decode(name, raw)
			if err != nil {
				return b, fmt.Errorf("event %d: %w", i, err)
			}
			b.Events = append(b.Events, ev)
		}
	}
	return b, nil
}

func decode(name string, raw json.RawMessage) (ev Event, err error) {
	f := &fields{name: name}
	if json.Unmarshal(raw, &f.m) != nil {
		return ev, fmt.Errorf("%s: its fields are not an object", name)
	}
	if name != "Catalog" {
		ev.Inst = f.text("CoordinatorId")
		if f.err == nil && !strings.HasPrefix(ev.Inst, prefix) {
			return ev, fmt.Errorf("%s: field CoordinatorId is mistyped: %q", name, ev.Inst)
		}
	}
	proxy := func() choice.ProxyID { return choice.ProxyID(f.whole("Sidecar")) }
	slice := func() choice.SliceID { return choice.SliceID(f.whole("RouteTable")) }
	zone := func() choice.Zone { return choice.Zone(f.text("FailureDomain")) }
	switch name {
	case "Enlist":
		var seed json.Number
		f.get("Entropy", &seed, true)
		var conf map[string]any
		f.get("Conf", &conf, true)
		n, bad := strconv.ParseUint(strings.TrimPrefix(seed.String(), "-"), 10, 64)
		if bad != nil && f.err == nil {
			f.err = fmt.Errorf("%s: field Entropy is mistyped: %s", name, seed)
		}
		ev.Body = Enlist{n, FlattenSettings(conf)}
	case "Detach":
		ev.Body = Detach{}
	case "Catalog":
		ev.Body = f.catalog()
	case "Members":
		m := Members{Kind: pick(f, "Kind", kinds), Number: -1}
		if m.Kind != choice.UpdateFailed {
			m.Version, m.Number = f.whole("Epoch"), int(f.whole("Table"))
		}
		ev.Body = m
	case "Due":
		ev.Body = choice.TimerFired{Timer: choice.TimerID(f.whole("Token"))}
	case "ProbeResult":
		ev.Body = choice.ProbeResult{
			Backend: f.backend(), OK: pick(f, "StateCode", results),
			Busy: f.text("StateCode") == "overloaded", Latency: f.opt("DelaySeenMs"), Load: f.load(),
		}
	case "Message":
		data, bad := hex.DecodeString(f.text("Octets"))
		if bad != nil && f.err == nil {
			f.err = fmt.Errorf("%s: field Octets is mistyped", name)
		}
		ev.Body = choice.PeerMessage{From: choice.PeerID(f.whole("From")), Data: data}
	case "Subscribed":
		ev.Body = choice.ProxyJoined{Proxy: proxy(), Zone: zone(), Rate: f.num("Heft"), Fresh: f.flag("Flag")}
	case "Disconnected":
		ev.Body = choice.ProxyLeft{Proxy: proxy()}
	case "TrafficReport":
		ev.Body = choice.AttemptReport{
			Backend: f.backend(), Zone: zone(), Attempts: int(f.whole("Count")),
			Failures: int(f.whole("Bad")), MeanLatency: f.opt("DelaySeenMs"), Span: f.secs("OverMs"), Load: f.load(),
		}
	case "Traffic":
		ev.Body = Usage{f.text("Category"), choice.UsageReport{
			Proxy: proxy(), RPCs: int(f.whole("Count")),
			Failures: int(f.whole("Bad")), Span: f.secs("OverMs"),
		}}
	case "RangeLoad":
		ev.Body = SliceUsage{f.text("Category"), choice.SliceReport{
			Slice: slice(), RPCs: int(f.whole("Count")),
			Failures: int(f.whole("Bad")), Span: f.secs("OverMs"),
		}}
	case "Charge":
		ev.Body = choice.SliceOwnership{Slice: slice(), Owned: f.flag("Flag")}
	case "StoredLine":
		ev.Body = choice.StoredSliceEntry{Slice: slice(), Backend: f.backend(), Weight: f.num("Heft")}
	case "Applied":
		ev.Body = choice.PushAcknowledged{Proxy: proxy(), Nonce: choice.Nonce(f.whole("Epoch")), Delay: f.opt("DelaySeenMs")}
	default:
		return ev, fmt.Errorf("unknown event %q", name)
	}
	return ev, f.err
}

func (f *fields) catalog() Catalog {
	var hosts []map[string]json.RawMessage
	c := Catalog{Number: int(f.whole("Table"))}
	f.get("Hosts", &hosts, true)
	for _, m := range hosts {
		h := fields{name: "Catalog: Hosts", m: m, err: f.err}
		e := choice.Endpoint{Backend: h.backend(), State: pick(&h, "Readiness", states), StartedAt: h.opt("UpSinceMs")}
		h.get("GenerationHw", &e.Kind, false)
		h.get("FailureDomain", &e.Zone, false)
		h.get("Heft", &e.Weight, false)
		h.get("UnitGroup", &e.Cell, false)
		f.err = h.err
		c.Entries = append(c.Entries, e)
	}
	return c
}

// names holds the settings whose name is another in our words; a # stands for a place in a list.
var names = map[string]string{
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

// words holds the values that are others in our words.
var words = map[string]map[string]string{
	"effect":     {"at_most_once": "non-idempotent", "deduplicated": "tokened"},
	"level_kind": {"ratio": "share", "rps": "rate"},
	"listing":    {"on_request": "asked"},
}

// Values flattens the start-up settings into a plain map of names to values, times in seconds; what has no name of
// ours passes under its own.
func FlattenSettings(conf map[string]any) map[string]any {
	out := map[string]any{}
	flatten(out, "", "", conf)
	return out
}

func flatten(out map[string]any, path, form string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(out, path+"."+k, form+"."+k, x)
		}
	case []any:
		out[rename(path, form)+".n"] = float64(len(v))
		for i, x := range v {
			flatten(out, path+"."+strconv.Itoa(i), form+".#", x)
		}
	default:
		name := rename(path, form)
		if x, ok := v.(float64); ok && strings.HasSuffix(path, "Ms") {
			v = x / 1000
		}
		if w, ok := v.(string); ok {
			if our := words[name[strings.LastIndex(name, ".")+1:]][w]; our != "" {
				v = our
			}
		}
		out[name] = v
	}
}

func rename(path, form string) string {
	path, form = strings.TrimPrefix(path, "."), strings.TrimPrefix(form, ".")
	if form == "Profiles" {
		return "method"
	}
	name, ok := names[form]
	if !ok {
		return path
	}
	if p := strings.Split(path, "."); strings.Contains(form, "#") {
		for i, part := range strings.Split(form, ".") {
			if part == "#" {
				name = strings.Replace(name, "#", p[i], 1)
			}
		}
	}
	return name
}

// Reply is what one instance orders.
type Reply struct {
	Inst   string
	Orders []choice.Command
}

type body = map[string]any

// Encode writes the reply to one batch, with its newline.
func Encode(replies []Reply) ([]byte, error) {
	out := []map[string]body{}
	for _, r := range replies {
		for _, o := range r.Orders {
			name, b := encode(o)
			if name == "" {
				return nil, fmt.Errorf("no wire form for an order of type %T", o)
			}
			b["CoordinatorId"] = r.Inst
			out = append(out, map[string]body{name: b})
		}
	}
	raw, err := json.Marshal(map[string]any{"orders": out})
	return append(raw, '\n'), err
}

func encode(o choice.Command) (string, body) {
	switch o := o.(type) {
	case choice.SetTableEntry:
		return "SetWeight", body{"RouteTable": o.Table, "Backend": o.Backend, "Heft": o.Weight}
	case choice.ClearTable:
		return "Truncate", body{"RouteTable": o.Table}
	case choice.BindTable:
		return "HandTable", body{"Only": o.Methods, "Sidecar": o.Proxy, "RouteTable": o.Table}
	case choice.SetExclusion:
		return "Suspend", body{"Flag": o.Excluded, "Backend": o.Backend}
	case choice.SetAdmission:
		return "GateClass", body{"RouteTable": o.Table, "Only": o.Methods, "Allowance": o.Level, "How": int(o.Retry)}
	case choice.SetNonce:
		return "Seal", body{"Epoch": o.Nonce, "Flag": o.All}
	case choice.WatchEndpoints:
		return "Follow", body{"Flag": o.On}
	case choice.FetchEndpoints:
		return "ListAll", body{}
	case choice.ProbeBackend:
		return "Sample", body{"Backend": o.Backend}
	case choice.SetTimer:
		// Rounded up: an alarm that rings a hair early would ask for itself again in the same round.
		return "After", body{"Token": o.Timer, "AlarmTimeMs": math.Ceil(o.At*1e6) / 1e3}
	case choice.SendToPeer:
		return "Publish", body{"Addressee": o.To, "Octets": hex.EncodeToString(o.Data)}
	case choice.LogMessage:
		return "Print", body{"Msg": o.Text}
	case Die:
		return "Die", body{"Msg": o.Text}
	}
	return "", nil
}

// Die says that an instance's module has failed.
type Die struct{ Text string }
