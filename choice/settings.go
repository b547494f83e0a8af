package choice

import (
	"fmt"
	"math"
)

// defaultMethodCount is the number of methods if the settings don't give it.
const defaultMethodCount = 1

// Number is a numeric setting that a settings file may omit. Times are in seconds.
type Number struct {
	value float64
	set   bool
}

// NumberOf returns a number that is set.
func NumberOf(value float64) Number { return Number{value, true} }

// Or returns the number, or def if the settings omit it.
func (n Number) Or(def float64) float64 {
	if n.set {
		return n.value
	}
	return def
}

// MethodSettings are the settings of one method.
type MethodSettings struct {
	Name         string
	Effect       string // "idempotent", "tokened" (idempotent thanks to an idempotency key) or "non-idempotent"
	Group        string // which backends share their store of idempotency keys ("tokens"): "all", "zone" or "cell"
	RetryLimit   string // limit on retries: "once" (none), "proven" (only of attempts that were not processed) or "free" (no limit)
	OwnZone      bool   // requests must stay in the proxy's zone
	Criticality  Number // requests of the methods with the lowest are shed first
	SoftDeadline Number // time within which a response is wanted
	Deadline     Number // time after which the client cancels the RPC
	TokenWindow  Number // time for which backends remember an idempotency key
}

// Settings are a site's settings, decoded from the flat form in which the adapters pass them. Other values of the flat form are
// ignored. Messages to proxies are measured in lines: a table entry, the admission of a method, an exclusion, the binding of a
// table and a nonce are one line each.
type Settings struct {
	MaxPollInterval       Number   // longest time between two polls of the endpoint list
	MaxTimeWithoutEntry   Number   // longest time that a proxy may be without a table entry while an open warm backend is listed
	ChannelLinesPerSecond Number   // lines a second that leave the channel (the queue of messages to all proxies)
	MaxChannelLines       Number   // limit on the lines that wait in the channel
	ColdCapacityShare     Number   // capacity that a backend has at least just after its start, as a share of its usual one
	Coordinators          Number   // number of coordinators of the fleet
	CrossZonePrice        Number   // price of a request that leaves its zone
	DrainGrace            Number   // time after which no request may be sent to a backend that the list has as draining or gone
	CollapseLoadMultiple  Number   // a cold backend collapses under a load above this multiple of its capacity at that time
	CollapseWindow        Number   // time under such a load after which a cold backend collapses
	FeedbackColumns       []string // names of the columns of a load report
	FeedbackSource        string   // where load reports come from; empty or "none": there are none
	MaxReportsPerSecond   Number   // limit on the reports per second that are passed to the module; 0: no limit
	LevelKind             string   // unit of admission levels: "share", "rate" (requests a second) or "none" (not applied)
	EndpointListMode      string   // "asked": the endpoint list has to be polled; "pushed": updates are sent without a poll
	MessageHeaderLines    Number   // lines of a message in addition to its own, for its header
	MessageLimit          Number   // limit on the messages to a proxy within MessageLimitSpan; 0: none
	MessageLimitSpan      Number   // time over which messages are counted for MessageLimit
	Methods               []MethodSettings
	ExcludeOnlyDraining   bool     // DrainGrace does not apply to a backend that is dropped from the list without draining
	PickPolicy            string   // how proxies pick a backend: "lottery" or "even" (by weight) or "pair" (less busy of two)
	ProbesAllowed         bool     // backends may be probed
	ProxyCount            Number   // number of proxies of all coordinators together
	MeanPushTime          Number   // mean time of a push from the channel to the proxy
	MaxPushTime           Number   // longest time of a push from the channel to the proxy
	ReportPeriod          Number   // time between two reports of a proxy
	Self                  Number   // number of this coordinator, from 0 to Coordinators-1
	SliceCount            Number   // number of slices; 0: the site has none
	AvoidAfterFailures    Number   // failures in a row after which a proxy avoids a backend for some seconds; 0: never
	Tick                  Number   // shortest time between two steps
	AttemptTimeoutShare   Number   // timeout of an attempt that may be retried, as a share of the soft deadline
	WarmupDuration        Number   // warm-up time: a backend is warm no later than this after its start
	Zone                  string   // zone of this coordinator
	Zones                 []string // all zones of the fleet
}

// flatSettings reads single values of the flat form. A value of an unexpected type counts as absent.
type flatSettings map[string]any

func (f flatSettings) number(name string) Number {
	value, ok := f[name].(float64)
	return Number{value, ok}
}

func (f flatSettings) text(name string) string {
	value, _ := f[name].(string)
	return value
}

func (f flatSettings) flag(name string) bool {
	value, _ := f[name].(bool)
	return value
}

// texts reads a list that is stored as its length under name.n and its items under name.0, name.1 and so on.
func (f flatSettings) texts(name string) (all []string) {
	for i := range int(f.number(name + ".n").Or(0)) {
		all = append(all, f.text(fmt.Sprintf("%s.%d", name, i)))
	}
	return all
}

// zones reads the zones up to the first that is missing, because the simulator's settings have their number under another name.
// The name of a sole zone may be empty.
func (f flatSettings) zones() (all []string) {
	for i := 0; ; i++ {
		zone, ok := f[fmt.Sprintf("zones.%d", i)].(string)
		if !ok {
			return all
		}
		all = append(all, zone)
	}
}

func (f flatSettings) method(i int) MethodSettings {
	prefix := fmt.Sprintf("method.%d.", i)
	return MethodSettings{
		Name:         f.text(prefix + "name"),
		Effect:       f.text(prefix + "effect"),
		Group:        f.text(prefix + "group"),
		RetryLimit:   f.text(prefix + "most_tries"),
		OwnZone:      f.flag(prefix + "own_zone"),
		Criticality:  f.number(prefix + "criticality"),
		SoftDeadline: f.number(prefix + "soft_deadline"),
		Deadline:     f.number(prefix + "deadline"),
		TokenWindow:  f.number(prefix + "window"),
	}
}

// DecodeSettings decodes the flat form, a map from names to numbers (float64, times in seconds), flags (bool) and texts
// (string).
func DecodeSettings(values map[string]any) Settings {
	flat := flatSettings(values)
	settings := Settings{
		MaxPollInterval:       flat.number("ask_within"),
		MaxTimeWithoutEntry:   flat.number("bare_limit"),
		ChannelLinesPerSecond: flat.number("channel_pace"),
		MaxChannelLines:       flat.number("channel_room"),
		ColdCapacityShare:     flat.number("cold_share"),
		Coordinators:          flat.number("coordinators"),
		CrossZonePrice:        flat.number("price.crossing"),
		DrainGrace:            flat.number("drain_grace"),
		CollapseLoadMultiple:  flat.number("fall_multiple"),
		CollapseWindow:        flat.number("fall_window"),
		FeedbackColumns:       flat.texts("Feedback.Columns"),
		FeedbackSource:        flat.text("Feedback.Source"),
		MaxReportsPerSecond:   flat.number("intake"),
		LevelKind:             flat.text("level_kind"),
		EndpointListMode:      flat.text("listing"),
		MessageHeaderLines:    flat.number("message_lines"),
		MessageLimit:          flat.number("messages"),
		MessageLimitSpan:      flat.number("messages_span"),
		ExcludeOnlyDraining:   flat.flag("only_draining_binds"),
		PickPolicy:            flat.text("pick"),
		ProbesAllowed:         flat.flag("probes"),
		ProxyCount:            flat.number("proxies"),
		MeanPushTime:          flat.number("push_time"),
		MaxPushTime:           flat.number("push_time_worst"),
		ReportPeriod:          flat.number("report_period"),
		Self:                  flat.number("self"),
		SliceCount:            flat.number("slices"),
		AvoidAfterFailures:    flat.number("strikes"),
		Tick:                  flat.number("tick"),
		AttemptTimeoutShare:   flat.number("try_wait"),
		WarmupDuration:        flat.number("warm_after"),
		Zone:                  flat.text("zone"),
		Zones:                 flat.zones(),
	}
	for i := range int(flat.number("method.n").Or(defaultMethodCount)) {
		settings.Methods = append(settings.Methods, flat.method(i))
	}
	return settings
}

// Default values of the settings that a site's settings file may omit, in the units of Settings; times are in seconds.
const (
	defaultMaxPollInterval       = 10
	defaultChannelLinesPerSecond = 1e4
	defaultColdCapacityShare     = 0.3
	defaultCriticality           = 1
	defaultDrainGrace            = 1
	defaultCollapseLoadMultiple  = 3
	defaultMessageHeaderLines    = 10
	defaultMessageLimitSpan      = 10
	defaultProxyCount            = 1
	defaultMeanPushTime          = 0.2
	defaultMaxPushTime           = 0.4
	defaultReportPeriod          = 1
	defaultSoftDeadline          = 1
	defaultAttemptTimeoutShare   = 1
	defaultWarmupDuration        = 10
)

// decisionSettings are the settings that decisions depend on, with defaults in place of omitted ones. Settings describes their
// meaning; newDecisionSettings shows which field comes from which setting.
type decisionSettings struct {
	MaxPollInterval       float64
	ChannelLinesPerSecond float64
	MaxChannelLines       float64
	ColdCapacityShare     float64
	CrossZonePrice        float64
	DrainGrace            float64
	CollapseLoadMultiple  float64
	LevelKind             string
	EndpointListMode      string
	MessageHeaderLines    float64
	MessageLimit          float64
	MessageLimitSpan      float64
	Methods               []MethodSettings
	ExcludeOnlyDraining   bool
	PickPolicy            string
	ProbesAllowed         bool
	ProxyCount            float64
	MeanPushTime          float64
	MaxPushTime           float64
	ReportPeriod          float64
	SliceCount            float64
	AvoidAfterFailures    float64
	AttemptTimeoutShare   float64
	WarmupDuration        float64
}

// newDecisionSettings fills in the defaults of omitted settings.
func newDecisionSettings(settings Settings) decisionSettings {
	return decisionSettings{
		MaxPollInterval:       settings.MaxPollInterval.Or(defaultMaxPollInterval),
		ChannelLinesPerSecond: settings.ChannelLinesPerSecond.Or(defaultChannelLinesPerSecond),
		MaxChannelLines:       settings.MaxChannelLines.Or(math.Inf(1)),
		ColdCapacityShare:     settings.ColdCapacityShare.Or(defaultColdCapacityShare),
		CrossZonePrice:        settings.CrossZonePrice.Or(0),
		DrainGrace:            settings.DrainGrace.Or(defaultDrainGrace),
		CollapseLoadMultiple:  settings.CollapseLoadMultiple.Or(defaultCollapseLoadMultiple),
		LevelKind:             settings.LevelKind,
		EndpointListMode:      settings.EndpointListMode,
		MessageHeaderLines:    settings.MessageHeaderLines.Or(defaultMessageHeaderLines),
		MessageLimit:          settings.MessageLimit.Or(0),
		MessageLimitSpan:      settings.MessageLimitSpan.Or(defaultMessageLimitSpan),
		Methods:               settings.Methods,
		ExcludeOnlyDraining:   settings.ExcludeOnlyDraining,
		PickPolicy:            settings.PickPolicy,
		ProbesAllowed:         settings.ProbesAllowed,
		ProxyCount:            settings.ProxyCount.Or(defaultProxyCount),
		MeanPushTime:          settings.MeanPushTime.Or(defaultMeanPushTime),
		MaxPushTime:           settings.MaxPushTime.Or(defaultMaxPushTime),
		ReportPeriod:          settings.ReportPeriod.Or(defaultReportPeriod),
		SliceCount:            settings.SliceCount.Or(0),
		AvoidAfterFailures:    settings.AvoidAfterFailures.Or(0),
		AttemptTimeoutShare:   settings.AttemptTimeoutShare.Or(defaultAttemptTimeoutShare),
		WarmupDuration:        settings.WarmupDuration.Or(defaultWarmupDuration),
	}
}
