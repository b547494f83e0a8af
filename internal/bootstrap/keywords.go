package bootstrap

// sections are all sections, in the order of the documentation.
var sections = []sectionType{
	{"instance", "NAME", "One coordinator: where it listens and what it reaches."},
	{"fleet", "", "What all coordinators, proxies and servers of the fleet share, and the rules' figures."},
	{"list", "", "How news of the list comes."},
	{"proxies", "", "What the proxies do."},
	{"channel", "", "What may be sent, how much and how often."},
	{"method", "NAME", "One method; a section for each, in the order in which proxies number them."},
}

// keywords are all settings, in the order of the documentation. The names and the texts are what operators type and read.
var keywords = []keyword{
	{
		Section: "instance", Name: "zone", Syntax: wordSyntax, Default: required, DecisionName: "zone",
		Doc:     "The data centre that this coordinator is in.",
		Example: "zone dc-kewdale",
	},
	{
		Section: "instance", Name: "listen", Syntax: addressSyntax, Default: required,
		Doc:     "Where proxies and other coordinators reach this one.",
		Example: "listen 127.0.0.1:7400",
	},
	{
		Section: "instance", Name: "list-service", Syntax: addressSyntax, Default: required,
		Doc:     "Where the list service is reached.",
		Example: "list-service 127.0.0.1:7300",
	},
	{
		Section: "instance", Name: "list-from", Syntax: pathSyntax, Default: "-",
		Doc:     "A file in HAProxy's format whose servers this process lists itself, at list-service; SIGHUP reads it again. - : a list service elsewhere.",
		Example: "list-from web.cfg",
	},
	{
		Section: "instance", Name: "list-pool", Syntax: wordSyntax, Default: "-",
		Doc:     "Which of its backends; - if it has one.",
		Example: "list-pool tasks",
	},
	{
		Section: "instance", Name: "list-drain", Syntax: durationSyntax, Max: 86400, Default: "30s",
		Doc:     "A server that left the file drains for so long before it leaves the list.",
		Example: "list-drain 30s",
	},
	{
		Section: "instance", Name: "list-most-lost", Syntax: shareSyntax, Max: 1, Default: "50%",
		Doc:     "A file that takes more of the servers out of use is held back until it is read a second time.",
		Example: "list-most-lost 50%",
	},
	{
		Section: "instance", Name: "state", Syntax: pathSyntax, Default: "-",
		Doc:     "The folder for what is kept between starts: list, drains, marks, in a store (docs/store.md); - keeps nothing. Relative to the file.",
		Example: "state /var/lib/gingerfork",
	},
	{
		Section: "instance", Name: "seed", Syntax: integerSyntax, Max: 1 << 53, Default: "1",
		Doc:     "What chance is drawn from; two coordinators should differ.",
		Example: "seed 41",
	},
	{
		Section: "instance", Name: "coordinators", Syntax: integerSyntax, Min: 1, Max: 1000, Default: "1", DecisionName: "coordinators",
		Doc:     "How many coordinators share the fleet.",
		Example: "coordinators 2",
	},
	{
		Section: "instance", Name: "self", Syntax: integerSyntax, Max: 999, Default: "0", DecisionName: "self",
		Doc:     "This one's number among them, from 0.",
		Example: "self 1",
	},
	{
		Section: "instance", Name: "peer", Syntax: peerSyntax, Max: 999, Default: "-",
		Doc:     "Where another coordinator is reached; once for each.",
		Example: "peer 1 127.0.0.1:7401",
	},
	{
		Section: "instance", Name: "handshake", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: "5s",
		Doc:     "Within this a new stream must have said hello.",
		Example: "handshake 5s",
	},
	{
		Section: "instance", Name: "stream-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s",
		Doc:     "A proxy's stream that was silent for so long is closed; proxies report each report-period.",
		Example: "stream-silence 10s",
	},
	{
		Section: "instance", Name: "list-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "5s",
		Doc:     "The same for the list service, which shows itself once a second.",
		Example: "list-silence 5s",
	},
	{
		Section: "instance", Name: "probe-timeout", Syntax: durationSyntax, Min: 0.01, Max: 60, Default: "1s",
		Doc:     "A probe without an answer for so long has failed.",
		Example: "probe-timeout 1s",
	},
	{
		Section: "instance", Name: "streams", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: "10000",
		Doc:     "Streams taken at once; more are refused.",
		Example: "streams 10000",
	},
	{
		Section: "instance", Name: "probes-at-once", Syntax: integerSyntax, Min: 1, Max: 10000, Default: "64",
		Doc:     "Probes under way at once; more wait.",
		Example: "probes-at-once 64",
	},
	{
		Section: "instance", Name: "reader-buffer", Syntax: integerSyntax, Min: 4096, Max: 1 << 30, Default: "4194304",
		Doc:     "Bytes that may wait for a proxy that does not read; past it its stream is cut.",
		Example: "reader-buffer 4194304",
	},

	{
		Section: "fleet", Name: "zones", Syntax: wordsSyntax, Default: required, DecisionName: "zones",
		Doc:     "All data centres.",
		Example: "zones dc-kewdale dc-malaga",
	},
	{
		Section: "fleet", Name: "proxy-count", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: required, DecisionName: "proxies",
		Doc:     "Proxies of all coordinators together, about.",
		Example: "proxy-count 8",
	},
	{
		Section: "fleet", Name: "warm-after", Syntax: durationSyntax, Max: 3600, Default: required, DecisionName: "warm_after",
		Doc:     "A server is warm no later than this after its start.",
		Example: "warm-after 15s",
	},
	{
		Section: "fleet", Name: "cold-share", Syntax: shareSyntax, Min: 0.01, Max: 1, Default: required, DecisionName: "cold_share",
		Doc:     "What a server can do of its usual work just after its start, at least.",
		Example: "cold-share 28%",
	},
	{
		Section: "fleet", Name: "fall-multiple", Syntax: numberSyntax, Min: 1, Max: 1000, Default: required, DecisionName: "fall_multiple",
		Doc:     "A cold server falls over when it is sent more than this multiple of what it can do at that time,",
		Example: "fall-multiple 2.5",
	},
	{
		Section: "fleet", Name: "fall-window", Syntax: durationSyntax, Min: 0.01, Max: 600, Default: required, DecisionName: "fall_window",
		Doc:     "for this long.",
		Example: "fall-window 1500ms",
	},
	{
		Section: "fleet", Name: "drain-grace", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "drain_grace",
		Doc:     "Within this after the coordinator was told, no proxy sends to a server that drains or is gone.",
		Example: "drain-grace 2100ms",
	},
	{
		Section: "fleet", Name: "only-draining-binds", Syntax: flagSyntax, Default: "off", DecisionName: "only_draining_binds",
		Doc:     "on: a server dropped from the list without draining may stay in tables.",
		Example: "only-draining-binds off",
	},
	{
		Section: "fleet", Name: "bare-limit", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "bare_limit",
		Doc:     "No proxy lacks a line for longer than this while an open warm server is listed.",
		Example: "bare-limit 3700ms",
	},
	{
		Section: "fleet", Name: "connections", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "connections",
		Doc:     "Connections that the smallest servers take; 0: not known.",
		Example: "connections 229",
	},

	{
		Section: "list", Name: "listing", Syntax: wordSyntax, Choices: []string{"asked", "pushed"}, Default: "asked", DecisionName: "listing",
		Doc:     "asked: news of the list comes after it is asked for. pushed: it comes unasked.",
		Example: "listing asked",
	},
	{
		Section: "list", Name: "ask-within", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "ask_within",
		Doc:     "A coordinator that has not asked for so long counts as told.",
		Example: "ask-within 10s",
	},
	{
		Section: "list", Name: "weight-kind", Syntax: wordSyntax, Choices: []string{"none", "nominal", "rough", "live"}, Default: "rough", DecisionName: "weight_kind",
		Doc:     "What the list's weights mean.",
		Example: "weight-kind rough",
	},

	{
		Section: "proxies", Name: "pick", Syntax: wordSyntax, Choices: []string{"lottery", "even", "pair"}, Default: required, DecisionName: "pick",
		Doc:     "How proxies pick a line: by lot by weight, evenly by weight, or of two drawn the one with fewer RPCs under way.",
		Example: "pick pair",
	},
	{
		Section: "proxies", Name: "strikes", Syntax: integerSyntax, Max: 1000, Default: "0", DecisionName: "strikes",
		Doc:     "Failures in a row after which a proxy keeps away from a server for some seconds; 0: never.",
		Example: "strikes 5",
	},
	{
		Section: "proxies", Name: "try-wait", Syntax: shareSyntax, Max: 1, Default: "80%", DecisionName: "try_wait",
		Doc:     "Where tries may follow, what each waits, as a part of the soft deadline.",
		Example: "try-wait 80%",
	},
	{
		Section: "proxies", Name: "usual-tries", Syntax: wordSyntax, Choices: []string{"once", "proven", "again", "twice"}, Default: "once", DecisionName: "usual_tries",
		Doc:     "When a proxy tries again that was told nothing.",
		Example: "usual-tries once",
	},
	{
		Section: "proxies", Name: "level-kind", Syntax: wordSyntax, Choices: []string{"none", "share", "rate"}, Default: "none", DecisionName: "level_kind",
		Doc:     "What proxies make of levels: nothing, a share let in, or RPCs a second.",
		Example: "level-kind share",
	},
	{
		Section: "proxies", Name: "report-period", Syntax: durationSyntax, Min: 0.05, Max: 60, Default: required, DecisionName: "report_period",
		Doc:     "How often proxies send their sums.",
		Example: "report-period 2s",
	},
	{
		Section: "proxies", Name: "intake", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "intake",
		Doc:     "Lines of sums a second that reach the decisions, oldest first; 0: all.",
		Example: "intake 500",
	},
	{
		Section: "proxies", Name: "push-time", Syntax: durationSyntax, Max: 60, Default: required, DecisionName: "push_time",
		Doc:     "Mean time of a push from the channel to the proxy.",
		Example: "push-time 135ms",
	},
	{
		Section: "proxies", Name: "push-time-worst", Syntax: durationSyntax, Max: 60, Default: required, DecisionName: "push_time_worst",
		Doc:     "The longest such time.",
		Example: "push-time-worst 340ms",
	},

	{
		Section: "channel", Name: "room", Syntax: numberSyntax, Min: 1, Max: 1e9, Default: required, DecisionName: "channel_room",
		Doc:     "Lines that may wait in the channel, heads included.",
		Example: "room 14100",
	},
	{
		Section: "channel", Name: "pace", Syntax: numberSyntax, Min: 1, Max: 1e9, Default: required, DecisionName: "channel_pace",
		Doc:     "Lines a second that leave it.",
		Example: "pace 14100",
	},
	{
		Section: "channel", Name: "message-lines", Syntax: numberSyntax, Max: 10000, Default: "10", DecisionName: "message_lines",
		Doc:     "Lines that a message counts beside its own.",
		Example: "message-lines 10",
	},
	{
		Section: "channel", Name: "messages", Syntax: integerSyntax, Max: 1 << 20, Default: "0", DecisionName: "messages",
		Doc:     "Messages that one proxy may be sent within messages-span; 0: any number.",
		Example: "messages 30",
	},
	{
		Section: "channel", Name: "messages-span", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "messages_span",
		Doc:     "The span for that count.",
		Example: "messages-span 10s",
	},
	{
		Section: "channel", Name: "tick", Syntax: durationSyntax, Max: 1, Default: "4ms", DecisionName: "tick",
		Doc:     "What happens within so long is decided on together.",
		Example: "tick 4ms",
	},
	{
		Section: "channel", Name: "probes", Syntax: flagSyntax, Default: "on", DecisionName: "probes",
		Doc:     "Whether servers may be probed.",
		Example: "probes on",
	},

	{
		Section: "method", Name: "effect", Syntax: wordSyntax, Choices: []string{"idempotent", "tokened", "non-idempotent"}, Default: required, DecisionName: "effect",
		Doc:     "What a second run of the RPC does.",
		Example: "effect tokened",
	},
	{
		Section: "method", Name: "tries", Syntax: wordSyntax, Choices: []string{"free", "proven", "once"}, Default: "free", DecisionName: "most_tries",
		Doc:     "What its RPCs may be tried again for. free: what their effect permits. proven: only after proof that they never ran. once: nothing.",
		Example: "tries proven",
	},
	{
		Section: "method", Name: "group", Syntax: wordSyntax, Choices: []string{"all", "zone", "cell"}, Default: "all", DecisionName: "group",
		Doc:     "For tokened RPCs, which servers drop each other's repeats.",
		Example: "group all",
	},
	{
		Section: "method", Name: "window", Syntax: durationSyntax, Max: 3600, Default: "5s", DecisionName: "window",
		Doc:     "For tokened RPCs, for how long repeats are dropped.",
		Example: "window 5s",
	},
	{
		Section: "method", Name: "criticality", Syntax: numberSyntax, Max: 1e6, Default: required, DecisionName: "criticality",
		Doc:     "What an answer within the soft deadline counts.",
		Example: "criticality 2",
	},
	{
		Section: "method", Name: "soft-deadline", Syntax: durationSyntax, Min: 0.001, Max: 3600, Default: required, DecisionName: "soft_deadline",
		Doc:     "Within this an answer is wanted.",
		Example: "soft-deadline 800ms",
	},
	{
		Section: "method", Name: "deadline", Syntax: durationSyntax, Min: 0.001, Max: 3600, Default: required, DecisionName: "deadline",
		Doc:     "After this the client gives up.",
		Example: "deadline 2s",
	},
	{
		Section: "method", Name: "own-zone", Syntax: flagSyntax, Default: "off", DecisionName: "own_zone",
		Doc:     "on: its RPCs stay in the proxy's zone.",
		Example: "own-zone off",
	},
	{
		Section: "method", Name: "writes", Syntax: flagSyntax, Default: "off", DecisionName: "writes",
		Doc:     "Whether it changes anything.",
		Example: "writes on",
	},
}
