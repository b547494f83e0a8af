package choice

import (
	"fmt"
	"math"
)

// defaultMethods is the number of methods where the settings leave it out.
const defaultMethods = 1

// Number is a numeric setting that a settings file may leave out. Times are in seconds.
type Number struct {
	value float64
	set   bool
}

// NumberOf returns a number that is set.
func NumberOf(value float64) Number { return Number{value, true} }

// Or returns the number, or def where the settings leave it out.
func (n Number) Or(def float64) float64 {
	if n.set {
		return n.value
	}
	return def
}

// MethodSettings are the settings of one method.
type MethodSettings struct {
	Name         string
	Effect       string // "idempotent", "tokened" (idempotent with a key) or "non-idempotent"
	Group        string // which processes recognize a token: "all" of them, or fewer
	RetryLimit   string // the limit on retries: "once", "proven" or none
	OwnZone      bool   // requests must stay in the proxy's zone
	Criticality  Number // requests of the lowest one are shed first
	SoftDeadline Number
	Deadline     Number
	TokenWindow  Number // how long a token is remembered
}

// Settings are the site's settings, decoded from the flat form in which the adapters hand them over. What the flat form has
// beyond these fields is passed over.
type Settings struct {
	MaxPollInterval       Number // longest time between two polls of the endpoint list
	MaxTimeWithoutEntry   Number // longest time that a proxy may be without a backend
	ChannelLinesPerSecond Number // lines a second
	MaxChannelLines       Number // lines that may wait in the channel
	ColdCapacityShare     Number // capacity of a cold backend, as a share of a warm one's
	Coordinators          Number
	CrossZonePrice        Number // of a request that leaves its zone
	DrainGrace            Number // after which nothing may reach a draining or gone backend
	CollapseLoadMultiple  Number // of its capacity, what pushes a cold backend over
	CollapseWindow        Number
	FeedbackColumns       []string // names of the columns of a load report
	FeedbackSource        string
	MaxReportsPerSecond   Number // lines of reports a second that the module takes
	LevelKind             string // unit of admission levels: "share", "rate" or "none"
	EndpointListMode      string // "asked" where the endpoint list has to be polled
	MessageHeaderLines    Number // lines that a message costs beside its own
	MessageLimit          Number // limit on messages to a proxy; 0: none
	MessageLimitSpan      Number // within which they are counted
	Methods               []MethodSettings
	ExcludeOnlyDraining   bool // a backend dropped from the list without draining is not bound by the grace
	PickPolicy            string
	ProbesAllowed         bool
	ProxyCount            Number
	MeanPushTime          Number // usual time from a push to its acknowledgement
	MaxPushTime           Number
	ReportPeriod          Number
	Self                  Number // number of this coordinator
	SliceCount            Number
	AvoidAfterFailures    Number // failures in a row after which a proxy avoids a backend for a while
	Tick                  Number // shortest time between two steps
	AttemptTimeoutShare   Number // time after which an attempt counts as failed
	WarmupDuration        Number
	Zone                  string
	Zones                 []string
}

// flatSettings reads single values of the flat form. A value of another type than expected counts as absent.
type flatSettings map[string]any

func (f flatSettings) number(name string) Number {
	value, ok := f[name].(float64)
	return Number{value, ok}
}

func (f flatSettings) word(name string) string {
	value, _ := f[name].(string)
	return value
}

func (f flatSettings) flag(name string) bool {
	value, _ := f[name].(bool)
	return value
}

// words reads a list that is stored as its length under name.n and its items under name.0, name.1 and so on.
func (f flatSettings) words(name string) (all []string) {
	for i := range int(f.number(name + ".n").Or(0)) {
		all = append(all, f.word(fmt.Sprintf("%s.%d", name, i)))
	}
	return all
}

// zones reads the zones up to the first that is missing: the simulator's settings have their number under another name. Where
// there is but one place, its name may be empty.
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
		Name:         f.word(prefix + "name"),
		Effect:       f.word(prefix + "effect"),
		Group:        f.word(prefix + "group"),
		RetryLimit:   f.word(prefix + "most_tries"),
		OwnZone:      f.flag(prefix + "own_zone"),
		Criticality:  f.number(prefix + "criticality"),
		SoftDeadline: f.number(prefix + "soft_deadline"),
		Deadline:     f.number(prefix + "deadline"),
		TokenWindow:  f.number(prefix + "window"),
	}
}

// DecodeSettings decodes the flat form: names to numbers (float64, times in seconds), flags and words.
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
		FeedbackColumns:       flat.words("Feedback.Columns"),
		FeedbackSource:        flat.word("Feedback.Source"),
		MaxReportsPerSecond:   flat.number("intake"),
		LevelKind:             flat.word("level_kind"),
		EndpointListMode:      flat.word("listing"),
		MessageHeaderLines:    flat.number("message_lines"),
		MessageLimit:          flat.number("messages"),
		MessageLimitSpan:      flat.number("messages_span"),
		ExcludeOnlyDraining:   flat.flag("only_draining_binds"),
		PickPolicy:            flat.word("pick"),
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
		Zone:                  flat.word("zone"),
		Zones:                 flat.zones(),
	}
	for i := range int(flat.number("method.n").Or(defaultMethods)) {
		settings.Methods = append(settings.Methods, flat.method(i))
	}
	return settings
}

// Values of settings that a site's file leaves out.
const (
	defaultAskWithin     = 10
	defaultChannelPace   = 1e4
	defaultColdShare     = 0.3
	defaultCriticality   = 1
	defaultDrainGrace    = 1
	defaultFallMultiple  = 3
	defaultMessageLines  = 10
	defaultMessagesSpan  = 10
	defaultProxies       = 1
	defaultPushTime      = 0.2
	defaultPushTimeWorst = 0.4
	defaultReportPeriod  = 1
	defaultSoftDeadline  = 1
	defaultTryWait       = 1
	defaultWarmAfter     = 10
)

// planSettings are the settings that the module goes by, with the defaults for those that are left out.
type planSettings struct {
	AskWithin         float64
	ChannelPace       float64
	ChannelRoom       float64
	ColdShare         float64
	CrossingPrice     float64
	DrainGrace        float64
	FallMultiple      float64
	LevelKind         string
	Listing           string
	MessageLines      float64
	Messages          float64
	MessagesSpan      float64
	Methods           []MethodSettings
	OnlyDrainingBinds bool
	Pick              string
	Probes            bool
	Proxies           float64
	PushTime          float64
	PushTimeWorst     float64
	ReportPeriod      float64
	Slices            float64
	Strikes           float64
	TryWait           float64
	WarmAfter         float64
}

func planSettingsOf(settings Settings) planSettings {
	return planSettings{
		AskWithin:         settings.MaxPollInterval.Or(defaultAskWithin),
		ChannelPace:       settings.ChannelLinesPerSecond.Or(defaultChannelPace),
		ChannelRoom:       settings.MaxChannelLines.Or(math.Inf(1)),
		ColdShare:         settings.ColdCapacityShare.Or(defaultColdShare),
		CrossingPrice:     settings.CrossZonePrice.Or(0),
		DrainGrace:        settings.DrainGrace.Or(defaultDrainGrace),
		FallMultiple:      settings.CollapseLoadMultiple.Or(defaultFallMultiple),
		LevelKind:         settings.LevelKind,
		Listing:           settings.EndpointListMode,
		MessageLines:      settings.MessageHeaderLines.Or(defaultMessageLines),
		Messages:          settings.MessageLimit.Or(0),
		MessagesSpan:      settings.MessageLimitSpan.Or(defaultMessagesSpan),
		Methods:           settings.Methods,
		OnlyDrainingBinds: settings.ExcludeOnlyDraining,
		Pick:              settings.PickPolicy,
		Probes:            settings.ProbesAllowed,
		Proxies:           settings.ProxyCount.Or(defaultProxies),
		PushTime:          settings.MeanPushTime.Or(defaultPushTime),
		PushTimeWorst:     settings.MaxPushTime.Or(defaultPushTimeWorst),
		ReportPeriod:      settings.ReportPeriod.Or(defaultReportPeriod),
		Slices:            settings.SliceCount.Or(0),
		Strikes:           settings.AvoidAfterFailures.Or(0),
		TryWait:           settings.AttemptTimeoutShare.Or(defaultTryWait),
		WarmAfter:         settings.WarmupDuration.Or(defaultWarmAfter),
	}
}
