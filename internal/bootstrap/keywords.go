package bootstrap

// sections are all sections, in the order of the documentation.
var sections = []sectionType{
	{"instance", "NAME", "One coordinator: where it listens and what it reaches."},
	{"fleet", "", "What all coordinators, proxies and backends of the fleet share, and the limits of the rules."},
	{"list", "", "How endpoint updates reach the coordinator."},
	{"proxies", "", "How the proxies behave."},
	{"channel", "", "The channel to the proxies: how much may be sent, and how often."},
	{"method", "NAME", "One method; a section for each, in the order in which proxies number them."},
}

// keywords are all settings, in the order of the documentation. The names and the texts are what operators type and read.
var keywords = []keyword{
	{
		Section: "instance", Name: "zone", Syntax: wordSyntax, Default: required, DecisionName: "zone",
		Doc:     "The zone (data centre) that this coordinator is in.",
		Example: "zone dc-kewdale",
	},
	{
		Section: "instance", Name: "listen", Syntax: addressSyntax, Default: required,
		Doc:     "The address on which proxies and other coordinators reach this one.",
		Example: "listen 127.0.0.1:7400",
	},
	{
		Section: "instance", Name: "list-service", Syntax: addressSyntax, Default: required,
		Doc:     "The address of the endpoint list service.",
		Example: "list-service 127.0.0.1:7300",
	},
	{
		Section: "instance", Name: "list-from", Syntax: pathSyntax, Default: "-",
		Doc:     "A file in HAProxy's format whose servers this process serves as the endpoint list itself, at list-service; SIGHUP reads it again. - : the endpoint list service runs elsewhere.",
		Example: "list-from web.cfg",
	},
	{
		Section: "instance", Name: "list-pool", Syntax: wordSyntax, Default: "-",
		Doc:     "Which backend section (pool) of that file; - if it has only one.",
		Example: "list-pool tasks",
	},
	{
		Section: "instance", Name: "list-drain", Syntax: durationSyntax, Max: 86400, Default: "30s",
		Doc:     "How long a server that left the file drains before it leaves the endpoint list.",
		Example: "list-drain 30s",
	},
	{
		Section: "instance", Name: "list-most-lost", Syntax: shareSyntax, Max: 1, Default: "50%",
		Doc:     "A file that takes more than this share of the servers out of use is held back until it is read a second time.",
		Example: "list-most-lost 50%",
	},
	{
		Section: "instance", Name: "state", Syntax: pathSyntax, Default: "-",
		Doc:     "The folder for what is persisted between starts: endpoint list, drains, nonces, in a store (docs/store.md); - persists nothing. Relative to the file.",
		Example: "state /var/lib/gingerfork",
	},
	{
		Section: "instance", Name: "seed", Syntax: integerSyntax, Max: 1 << 53, Default: "1",
		Doc:     "The seed of all random numbers; two coordinators should have different ones.",
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
		Doc:     "Number and address of another coordinator; once for each.",
		Example: "peer 1 127.0.0.1:7401",
	},
	{
		Section: "instance", Name: "handshake", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: "5s",
		Doc:     "The time within which a new stream must have sent hello.",
		Example: "handshake 5s",
	},
	{
		Section: "instance", Name: "stream-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s",
		Doc:     "A proxy's stream on which nothing arrived for so long is closed; proxies send reports each report-period.",
		Example: "stream-silence 10s",
	},
	{
		Section: "instance", Name: "list-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "5s",
		Doc:     "The same for the endpoint list service, which sends an update, if only an empty one, once a second.",
		Example: "list-silence 5s",
	},
	{
		Section: "instance", Name: "probe-timeout", Syntax: durationSyntax, Min: 0.01, Max: 60, Default: "1s",
		Doc:     "The time after which a probe without an answer has failed.",
		Example: "probe-timeout 1s",
	},
	{
		Section: "instance", Name: "streams", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: "10000",
		Doc:     "The most streams at once; further ones are rejected.",
		Example: "streams 10000",
	},
	{
		Section: "instance", Name: "probes-at-once", Syntax: integerSyntax, Min: 1, Max: 10000, Default: "64",
		Doc:     "The most probes in flight at once; further ones wait.",
		Example: "probes-at-once 64",
	},
	{
		Section: "instance", Name: "reader-buffer", Syntax: integerSyntax, Min: 4096, Max: 1 << 30, Default: "4194304",
		Doc:     "Bytes that may be queued for a proxy that does not read; beyond that its stream is closed.",
		Example: "reader-buffer 4194304",
	},

	{
		Section: "fleet", Name: "zones", Syntax: wordsSyntax, Default: required, DecisionName: "zones",
		Doc:     "All zones (data centres).",
		Example: "zones dc-kewdale dc-malaga",
	},
	{
		Section: "fleet", Name: "proxy-count", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: required, DecisionName: "proxies",
		Doc:     "Approximate number of proxies of all coordinators together.",
		Example: "proxy-count 8",
	},
	{
		Section: "fleet", Name: "warm-after", Syntax: durationSyntax, Max: 3600, Default: required, DecisionName: "warm_after",
		Doc:     "The warm-up time: a backend is warm no later than this after its start.",
		Example: "warm-after 15s",
	},
	{
		Section: "fleet", Name: "cold-share", Syntax: shareSyntax, Min: 0.01, Max: 1, Default: required, DecisionName: "cold_share",
		Doc:     "The share of its usual capacity that a backend has at least just after its start.",
		Example: "cold-share 28%",
	},
	{
		Section: "fleet", Name: "fall-multiple", Syntax: numberSyntax, Min: 1, Max: 1000, Default: required, DecisionName: "fall_multiple",
		Doc:     "A cold backend collapses when it is sent more than this multiple of its capacity at that time,",
		Example: "fall-multiple 2.5",
	},
	{
		Section: "fleet", Name: "fall-window", Syntax: durationSyntax, Min: 0.01, Max: 600, Default: required, DecisionName: "fall_window",
		Doc:     "for this long (see fall-multiple).",
		Example: "fall-window 1500ms",
	},
	{
		Section: "fleet", Name: "drain-grace", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "drain_grace",
		Doc:     "The time after a coordinator was notified within which all proxies must have stopped sending to a backend that drains or is gone.",
		Example: "drain-grace 2100ms",
	},
	{
		Section: "fleet", Name: "only-draining-binds", Syntax: flagSyntax, Default: "off", DecisionName: "only_draining_binds",
		Doc:     "on: a backend that is dropped from the endpoint list without draining may stay in tables.",
		Example: "only-draining-binds off",
	},
	{
		Section: "fleet", Name: "bare-limit", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "bare_limit",
		Doc:     "The longest time that a proxy may be without a table entry while an open warm backend is listed.",
		Example: "bare-limit 3700ms",
	},
	{
		Section: "fleet", Name: "connections", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "connections",
		Doc:     "The connection limit of the smallest backends; 0: not known.",
		Example: "connections 229",
	},

	{
		Section: "list", Name: "listing", Syntax: wordSyntax, Choices: []string{"asked", "pushed"}, Default: "asked", DecisionName: "listing",
		Doc:     "asked: endpoint updates are polled for. pushed: they are sent without a poll.",
		Example: "listing asked",
	},
	{
		Section: "list", Name: "ask-within", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "ask_within",
		Doc:     "The longest time between two polls; a coordinator that has not polled for so long counts as notified.",
		Example: "ask-within 10s",
	},
	{
		Section: "list", Name: "weight-kind", Syntax: wordSyntax, Choices: []string{"none", "nominal", "rough", "live"}, Default: "rough", DecisionName: "weight_kind",
		Doc:     "What the weights in the endpoint list mean.",
		Example: "weight-kind rough",
	},

	{
		Section: "proxies", Name: "pick", Syntax: wordSyntax, Choices: []string{"lottery", "even", "pair"}, Default: required, DecisionName: "pick",
		Doc:     "How proxies pick a backend: lottery: at random by weight; even: evenly by weight; pair: of two drawn at random the one with fewer RPCs in flight.",
		Example: "pick pair",
	},
	{
		Section: "proxies", Name: "strikes", Syntax: integerSyntax, Max: 1000, Default: "0", DecisionName: "strikes",
		Doc:     "Failures in a row after which a proxy avoids a backend for some seconds; 0: never.",
		Example: "strikes 5",
	},
	{
		Section: "proxies", Name: "try-wait", Syntax: shareSyntax, Max: 1, Default: "80%", DecisionName: "try_wait",
		Doc:     "The timeout of an attempt that a retry may follow, as a share of the soft deadline.",
		Example: "try-wait 80%",
	},
	{
		Section: "proxies", Name: "usual-tries", Syntax: wordSyntax, Choices: []string{"once", "proven", "again", "twice"}, Default: "once", DecisionName: "usual_tries",
		Doc:     "The retry policy of a proxy that was sent none.",
		Example: "usual-tries once",
	},
	{
		Section: "proxies", Name: "level-kind", Syntax: wordSyntax, Choices: []string{"none", "share", "rate"}, Default: "none", DecisionName: "level_kind",
		Doc:     "How proxies apply admission levels: not at all, as the share of RPCs that is admitted, or as RPCs a second.",
		Example: "level-kind share",
	},
	{
		Section: "proxies", Name: "report-period", Syntax: durationSyntax, Min: 0.05, Max: 60, Default: required, DecisionName: "report_period",
		Doc:     "The time between two reports of a proxy.",
		Example: "report-period 2s",
	},
	{
		Section: "proxies", Name: "intake", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "intake",
		Doc:     "Lines of reports a second that the decision module takes, oldest first; 0: all.",
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
		Doc:     "Lines that may wait in the channel, headers included.",
		Example: "room 14100",
	},
	{
		Section: "channel", Name: "pace", Syntax: numberSyntax, Min: 1, Max: 1e9, Default: required, DecisionName: "channel_pace",
		Doc:     "Lines a second that leave the channel.",
		Example: "pace 14100",
	},
	{
		Section: "channel", Name: "message-lines", Syntax: numberSyntax, Max: 10000, Default: "10", DecisionName: "message_lines",
		Doc:     "Lines that a message counts in addition to its own (its header).",
		Example: "message-lines 10",
	},
	{
		Section: "channel", Name: "messages", Syntax: integerSyntax, Max: 1 << 20, Default: "0", DecisionName: "messages",
		Doc:     "Messages that one proxy may be sent within messages-span; 0: any number.",
		Example: "messages 30",
	},
	{
		Section: "channel", Name: "messages-span", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "messages_span",
		Doc:     "The span in which messages are counted.",
		Example: "messages-span 10s",
	},
	{
		Section: "channel", Name: "tick", Syntax: durationSyntax, Max: 1, Default: "4ms", DecisionName: "tick",
		Doc:     "Events that arrive within so long are handled in one step.",
		Example: "tick 4ms",
	},
	{
		Section: "channel", Name: "probes", Syntax: flagSyntax, Default: "on", DecisionName: "probes",
		Doc:     "Whether backends may be probed.",
		Example: "probes on",
	},

	{
		Section: "method", Name: "effect", Syntax: wordSyntax, Choices: []string{"idempotent", "tokened", "non-idempotent"}, Default: required, DecisionName: "effect",
		Doc:     "What a second execution of the RPC does; tokened: the RPC has an idempotency key, by which backends drop repeats.",
		Example: "effect tokened",
	},
	{
		Section: "method", Name: "tries", Syntax: wordSyntax, Choices: []string{"free", "proven", "once"}, Default: "free", DecisionName: "most_tries",
		Doc:     "When its RPCs may be retried. free: as far as their effect permits. proven: only after proof that the attempt was not processed. once: never.",
		Example: "tries proven",
	},
	{
		Section: "method", Name: "group", Syntax: wordSyntax, Choices: []string{"all", "zone", "cell"}, Default: "all", DecisionName: "group",
		Doc:     "For tokened RPCs: which backends share their store of idempotency keys, and so drop each other's repeats.",
		Example: "group all",
	},
	{
		Section: "method", Name: "window", Syntax: durationSyntax, Max: 3600, Default: "5s", DecisionName: "window",
		Doc:     "For tokened RPCs: how long an idempotency key is remembered.",
		Example: "window 5s",
	},
	{
		Section: "method", Name: "criticality", Syntax: numberSyntax, Max: 1e6, Default: required, DecisionName: "criticality",
		Doc:     "The weight of an answer within the soft deadline; the lowest is shed first.",
		Example: "criticality 2",
	},
	{
		Section: "method", Name: "soft-deadline", Syntax: durationSyntax, Min: 0.001, Max: 3600, Default: required, DecisionName: "soft_deadline",
		Doc:     "The latency objective: the time within which an answer is wanted.",
		Example: "soft-deadline 800ms",
	},
	{
		Section: "method", Name: "deadline", Syntax: durationSyntax, Min: 0.001, Max: 3600, Default: required, DecisionName: "deadline",
		Doc:     "The time after which the client cancels the RPC.",
		Example: "deadline 2s",
	},
	{
		Section: "method", Name: "own-zone", Syntax: flagSyntax, Default: "off", DecisionName: "own_zone",
		Doc:     "on: its RPCs stay in the proxy's zone.",
		Example: "own-zone off",
	},
	{
		Section: "method", Name: "writes", Syntax: flagSyntax, Default: "off", DecisionName: "writes",
		Doc:     "Whether its RPCs change data.",
		Example: "writes on",
	},
}
