package wire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"gingerfork/choice"
)

type (
	// StartInstance starts an instance of the decision module.
	StartInstance struct {
		Seed     uint64
		Settings map[string]any // in the form that choice.DecodeSettings reads
	}
	// StopInstance ends the instance that the event is for.
	StopInstance struct{}
	// DefineList stores an endpoint list under a number, to which endpoint updates refer.
	DefineList struct {
		Number    int
		Endpoints []choice.Endpoint
	}
	// EndpointUpdate is a choice.EndpointUpdate that refers to a list of an earlier DefineList instead of containing its
	// endpoints.
	EndpointUpdate struct {
		Kind       choice.UpdateKind
		Version    int64
		ListNumber int // DefineList.Number of the list; unused for choice.UpdateFailed
	}
	// UsageReport is a choice.UsageReport whose method is given by name; Report.Method is not set.
	UsageReport struct {
		Method string
		Report choice.UsageReport
	}
	// SliceReport is a choice.SliceReport whose method is given by name; Report.Method is not set.
	SliceReport struct {
		Method string
		Report choice.SliceReport
	}
)

// defineListEvent is the only event that is not for one instance.
const defineListEvent = "Catalog"

// eventDecoders has the function that decodes the body of an event, by the name of the event.
var eventDecoders = map[string]func(*fieldReader) any{
	"Enlist":        decodeStartInstance,
	"Detach":        func(*fieldReader) any { return StopInstance{} },
	defineListEvent: decodeDefineList,
	"Members":       decodeEndpointUpdate,
	"Due":           decodeTimerFired,
	"ProbeResult":   decodeProbeResult,
	"Message":       decodePeerMessage,
	"Subscribed":    decodeProxyJoined,
	"Disconnected":  func(f *fieldReader) any { return choice.ProxyLeft{Proxy: f.proxy()} },
	"TrafficReport": decodeAttemptReport,
	"Traffic":       decodeUsageReport,
	"RangeLoad":     decodeSliceReport,
	"Charge":        decodeSliceOwnership,
	"StoredLine":    decodeStoredSliceEntry,
	"Applied":       decodePushAcknowledged,
}

var (
	backendStates = map[string]choice.BackendState{
		"U": choice.BackendOpen,
		"L": choice.BackendDraining,
		"D": choice.BackendGone,
	}
	updateKinds = map[string]choice.UpdateKind{
		"diff":     choice.UpdateDelta,
		"snapshot": choice.UpdateFull,
		"disk":     choice.UpdateCached,
		"error":    choice.UpdateFailed,
	}
	// probeSuccess has, for each result of a probe, whether the backend is healthy.
	probeSuccess = map[string]bool{
		"success":       true,
		"failure":       false,
		probeOverloaded: false,
		"timed_out":     false,
		"unreachable":   false,
		"broken":        false,
		"withdrawn":     false,
		"void":          false,
	}
)

// probeOverloaded is the result of a probe that the backend rejected because it had no capacity for it.
const probeOverloaded = "overloaded"

func decodeStartInstance(f *fieldReader) any {
	var entropy json.Number
	f.required("Entropy", &entropy)
	var settings map[string]any
	f.required("Conf", &settings)
	seed, err := strconv.ParseUint(strings.TrimPrefix(entropy.String(), "-"), 10, 64)
	if err != nil {
		f.fail("Entropy", ErrMalformed, entropy.String())
	}
	return StartInstance{Seed: seed, Settings: FlattenSettings(settings)}
}

func decodeDefineList(f *fieldReader) any {
	list := DefineList{Number: f.count("Table")}
	var hosts []map[string]json.RawMessage
	f.required("Hosts", &hosts)
	for _, raw := range hosts {
		host := fieldReader{event: defineListEvent + ": Hosts", raw: raw, err: f.err}
		list.Endpoints = append(list.Endpoints, decodeEndpoint(&host))
		f.err = host.err
	}
	return list
}

func decodeEndpoint(f *fieldReader) choice.Endpoint {
	endpoint := choice.Endpoint{
		Backend:   f.backend(),
		State:     oneOf(f, "Readiness", backendStates),
		StartedAt: f.optionalSeconds("UpSinceMs"),
	}
	f.optional("GenerationHw", &endpoint.Kind)
	f.optional("FailureDomain", &endpoint.Zone)
	f.optional("Heft", &endpoint.Weight)
	f.optional("UnitGroup", &endpoint.Cell)
	return endpoint
}

func decodeEndpointUpdate(f *fieldReader) any {
	update := EndpointUpdate{Kind: oneOf(f, "Kind", updateKinds)}
	if update.Kind != choice.UpdateFailed {
		update.Version = f.integer("Epoch")
		update.ListNumber = f.count("Table")
	}
	return update
}

func decodeTimerFired(f *fieldReader) any {
	return choice.TimerFired{Timer: choice.TimerID(f.integer("Token"))}
}

func decodeProbeResult(f *fieldReader) any {
	return choice.ProbeResult{
		Backend: f.backend(),
		OK:      oneOf(f, "StateCode", probeSuccess),
		Busy:    f.text("StateCode") == probeOverloaded,
		Latency: f.optionalSeconds("DelaySeenMs"),
		Load:    f.load(),
	}
}

func decodePeerMessage(f *fieldReader) any {
	octets := f.text("Octets")
	data, err := hex.DecodeString(octets)
	if err != nil {
		f.fail("Octets", ErrMalformed, octets)
	}
	return choice.PeerMessage{From: choice.PeerID(f.integer("From")), Data: data}
}

func decodeProxyJoined(f *fieldReader) any {
	return choice.ProxyJoined{Proxy: f.proxy(), Zone: f.zone(), Rate: f.number("Heft"), Fresh: f.flag("Flag")}
}

func decodeAttemptReport(f *fieldReader) any {
	return choice.AttemptReport{
		Backend:     f.backend(),
		Zone:        f.zone(),
		Attempts:    f.count("Count"),
		Failures:    f.count("Bad"),
		MeanLatency: f.optionalSeconds("DelaySeenMs"),
		Span:        f.seconds("OverMs"),
		Load:        f.load(),
	}
}

func decodeUsageReport(f *fieldReader) any {
	return UsageReport{Method: f.text("Category"), Report: choice.UsageReport{
		Proxy:    f.proxy(),
		RPCs:     f.count("Count"),
		Failures: f.count("Bad"),
		Span:     f.seconds("OverMs"),
	}}
}

func decodeSliceReport(f *fieldReader) any {
	return SliceReport{Method: f.text("Category"), Report: choice.SliceReport{
		Slice:    f.slice(),
		RPCs:     f.count("Count"),
		Failures: f.count("Bad"),
		Span:     f.seconds("OverMs"),
	}}
}

func decodeSliceOwnership(f *fieldReader) any {
	return choice.SliceOwnership{Slice: f.slice(), Owned: f.flag("Flag")}
}

func decodeStoredSliceEntry(f *fieldReader) any {
	return choice.StoredSliceEntry{Slice: f.slice(), Backend: f.backend(), Weight: f.number("Heft")}
}

func decodePushAcknowledged(f *fieldReader) any {
	return choice.PushAcknowledged{
		Proxy: f.proxy(),
		Nonce: choice.Nonce(f.integer("Epoch")),
		Delay: f.optionalSeconds("DelaySeenMs"),
	}
}
