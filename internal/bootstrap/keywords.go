package bootstrap

// sections defines all sections, in the order of docs/settings.md.
var sections = []sectionType{
	{"instance", "NAME", "One coordinator: where it listens and what it reaches."},
	{"fleet", "", "Properties of the fleet that all coordinators, proxies and backends share, and the time limits that must be kept."},
	{"list", "", "How endpoint updates reach the coordinator."},
	{"proxies", "", "How the proxies behave."},
	{"channel", "", "The channel to the proxies: how much may be queued and sent."},
	{"method", "NAME", "One method. There is a section for each method, in the order of their numbers, which proxies use."},
}

// keywords defines all settings, in the order of docs/settings.md.
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
		Doc:     "A file in HAProxy's format. This process then is the endpoint list service itself: it serves the file's servers at list-service and reads the file again on SIGHUP. -: the endpoint list service runs elsewhere.",
		Example: "list-from web.cfg",
	},
	{
		Section: "instance", Name: "list-pool", Syntax: wordSyntax, Default: "-",
		Doc:     "The backend section (pool) of that file to use; - if it has only one.",
		Example: "list-pool tasks",
	},
	{
		Section: "instance", Name: "list-drain", Syntax: durationSyntax, Max: 86400, Default: "30s",
		Doc:     "How long a server that was removed from the file drains before it is removed from the endpoint list.",
		Example: "list-drain 30s",
	},
	{
		Section: "instance", Name: "list-most-lost", Syntax: shareSyntax, Max: 1, Default: "50%",
		Doc:     "A file that takes more than this share of the servers out of use takes effect only when it is read a second time.",
		Example: "list-most-lost 50%",
	},
	{
		Section: "instance", Name: "state", Syntax: pathSyntax, Default: "-",
		Doc:     "The directory of the store (docs/store.md), which keeps the endpoint list, drains and nonces between starts; -: nothing is persisted. Relative to the directory of the settings file.",
		Example: "state /var/lib/gingerfork",
	},
	{
		Section: "instance", Name: "seed", Syntax: integerSyntax, Max: 1 << 53, Default: "1",
		Doc:     "The seed of all random numbers; it should differ between coordinators.",
		Example: "seed 41",
	},
	{
		Section: "instance", Name: "coordinators", Syntax: integerSyntax, Min: 1, Max: 1000, Default: "1", DecisionName: "coordinators",
		Doc:     "Number of coordinators of the fleet.",
		Example: "coordinators 2",
	},
	{
		Section: "instance", Name: "self", Syntax: integerSyntax, Max: 999, Default: "0", DecisionName: "self",
		Doc:     "The number of this coordinator: 0 or above, and less than coordinators.",
		Example: "self 1",
	},
	{
		Section: "instance", Name: "peer", Syntax: peerSyntax, Max: 999, Default: "-",
		Doc:     "The number and address of another coordinator; given once for each.",
		Example: "peer 1 127.0.0.1:7401",
	},
	{
		Section: "instance", Name: "handshake", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: "5s",
		Doc:     "The time within which the party that opens a stream must send a Hello message.",
		Example: "handshake 5s",
	},
	{
		Section: "instance", Name: "stream-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s",
		Doc:     "A proxy's stream on which nothing arrives for this long is closed; proxies send reports every report-period.",
		Example: "stream-silence 10s",
	},
	{
		Section: "instance", Name: "list-silence", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "5s",
		Doc:     "The stream of the endpoint list service is closed if nothing arrives for this long; the service sends an update, possibly empty, once a second.",
		Example: "list-silence 5s",
	},
	{
		Section: "instance", Name: "probe-timeout", Syntax: durationSyntax, Min: 0.01, Max: 60, Default: "1s",
		Doc:     "The time after which a probe without an answer counts as failed.",
		Example: "probe-timeout 1s",
	},
	{
		Section: "instance", Name: "streams", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: "10000",
		Doc:     "The largest number of streams at the same time; further ones are rejected.",
		Example: "streams 10000",
	},
	{
		Section: "instance", Name: "probes-at-once", Syntax: integerSyntax, Min: 1, Max: 10000, Default: "64",
		Doc:     "The largest number of probes in flight at the same time; further ones wait.",
		Example: "probes-at-once 64",
	},
	{
		Section: "instance", Name: "reader-buffer", Syntax: integerSyntax, Min: 4096, Max: 1 << 30, Default: "4194304",
		Doc:     "The number of bytes that may be queued for a proxy that does not read; if there are more, its stream is closed.",
		Example: "reader-buffer 4194304",
	},

	{
		Section: "fleet", Name: "zones", Syntax: wordsSyntax, Default: required, DecisionName: "zones",
		Doc:     "All zones (data centres).",
		Example: "zones dc-kewdale dc-malaga",
	},
	{
		Section: "fleet", Name: "proxy-count", Syntax: integerSyntax, Min: 1, Max: 1 << 20, Default: required, DecisionName: "proxies",
		Doc:     "Approximate total number of proxies, of all coordinators together.",
		Example: "proxy-count 8",
	},
	{
		Section: "fleet", Name: "warm-after", Syntax: durationSyntax, Max: 3600, Default: required, DecisionName: "warm_after",
		Doc:     "The warm-up time: a backend is warm no later than this after its start.",
		Example: "warm-after 15s",
	},
	{
		Section: "fleet", Name: "cold-share", Syntax: shareSyntax, Min: 0.01, Max: 1, Default: required, DecisionName: "cold_share",
		Doc:     "The smallest share of its usual capacity that a backend has just after its start.",
		Example: "cold-share 28%",
	},
	{
		Section: "fleet", Name: "fall-multiple", Syntax: numberSyntax, Min: 1, Max: 1000, Default: required, DecisionName: "fall_multiple",
		Doc:     "A cold backend collapses when it is sent more than this multiple of its capacity at that time for fall-window.",
		Example: "fall-multiple 2.5",
	},
	{
		Section: "fleet", Name: "fall-window", Syntax: durationSyntax, Min: 0.01, Max: 600, Default: required, DecisionName: "fall_window",
		Doc:     "The time for which a cold backend must be sent more than fall-multiple times its capacity until it collapses.",
		Example: "fall-window 1500ms",
	},
	{
		Section: "fleet", Name: "drain-grace", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "drain_grace",
		Doc:     "The time within which all proxies must have stopped sending to a backend that drains or is gone, counted from the notification of a coordinator.",
		Example: "drain-grace 2100ms",
	},
	{
		Section: "fleet", Name: "only-draining-binds", Syntax: flagSyntax, Default: "off", DecisionName: "only_draining_binds",
		Doc:     "on: a backend that is removed from the endpoint list without draining may stay in tables longer than drain-grace.",
		Example: "only-draining-binds off",
	},
	{
		Section: "fleet", Name: "bare-limit", Syntax: durationSyntax, Min: 0.05, Max: 600, Default: required, DecisionName: "bare_limit",
		Doc:     "The longest time for which a proxy may have no table entry while the endpoint list has an open warm backend.",
		Example: "bare-limit 3700ms",
	},
	{
		Section: "fleet", Name: "connections", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "connections",
		Doc:     "The connection limit of the smallest backends; 0: unknown.",
		Example: "connections 229",
	},

	{
		Section: "list", Name: "listing", Syntax: wordSyntax, Choices: []string{"asked", "pushed"}, Default: "asked", DecisionName: "listing",
		Doc:     "asked: the coordinator polls for endpoint updates. pushed: they are sent without a poll.",
		Example: "listing asked",
	},
	{
		Section: "list", Name: "ask-within", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "ask_within",
		Doc:     "The longest time between two polls; a coordinator that has not polled for this long counts as notified.",
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
		Doc:     "Number of consecutive failures after which a proxy avoids a backend for some seconds; 0: never.",
		Example: "strikes 5",
	},
	{
		Section: "proxies", Name: "try-wait", Syntax: shareSyntax, Max: 1, Default: "80%", DecisionName: "try_wait",
		Doc:     "The timeout of an attempt that a retry may follow, as a share of the soft deadline.",
		Example: "try-wait 80%",
	},
	{
		Section: "proxies", Name: "usual-tries", Syntax: wordSyntax, Choices: []string{"once", "proven", "again", "twice"}, Default: "once", DecisionName: "usual_tries",
		Doc:     "The retry policy that a proxy applies if it was sent none.",
		Example: "usual-tries once",
	},
	{
		Section: "proxies", Name: "level-kind", Syntax: wordSyntax, Choices: []string{"none", "share", "rate"}, Default: "none", DecisionName: "level_kind",
		Doc:     "How proxies apply admission levels: not at all, as the share of RPCs that is admitted, or as RPCs a second.",
		Example: "level-kind share",
	},
	{
		Section: "proxies", Name: "report-period", Syntax: durationSyntax, Min: 0.05, Max: 60, Default: required, DecisionName: "report_period",
		Doc:     "The time between two reports from a proxy.",
		Example: "report-period 2s",
	},
	{
		Section: "proxies", Name: "intake", Syntax: numberSyntax, Max: 1e9, Default: "0", DecisionName: "intake",
		Doc:     "Number of reports per second, each on one backend or one method, that the decision module processes, oldest first; 0: all.",
		Example: "intake 500",
	},
	{
		Section: "proxies", Name: "push-time", Syntax: durationSyntax, Max: 60, Default: required, DecisionName: "push_time",
		Doc:     "The mean time that a push takes from the channel to the proxy.",
		Example: "push-time 135ms",
	},
	{
		Section: "proxies", Name: "push-time-worst", Syntax: durationSyntax, Max: 60, Default: required, DecisionName: "push_time_worst",
		Doc:     "The longest time that a push takes from the channel to the proxy.",
		Example: "push-time-worst 340ms",
	},

	{
		Section: "channel", Name: "room", Syntax: numberSyntax, Min: 1, Max: 1e9, Default: required, DecisionName: "channel_room",
		Doc:     "Number of lines (table entries) that may wait in the channel, including message-lines for each message.",
		Example: "room 14100",
	},
	{
		Section: "channel", Name: "pace", Syntax: numberSyntax, Min: 1, Max: 1e9, Default: required, DecisionName: "channel_pace",
		Doc:     "Number of lines per second that leave the channel.",
		Example: "pace 14100",
	},
	{
		Section: "channel", Name: "message-lines", Syntax: numberSyntax, Max: 10000, Default: "10", DecisionName: "message_lines",
		Doc:     "Number of lines for which a message counts in addition to the lines that it contains (its header).",
		Example: "message-lines 10",
	},
	{
		Section: "channel", Name: "messages", Syntax: integerSyntax, Max: 1 << 20, Default: "0", DecisionName: "messages",
		Doc:     "Number of messages that one proxy may be sent within messages-span; 0: no limit.",
		Example: "messages 30",
	},
	{
		Section: "channel", Name: "messages-span", Syntax: durationSyntax, Min: 0.1, Max: 3600, Default: "10s", DecisionName: "messages_span",
		Doc:     "The period within which messages limits the number of messages.",
		Example: "messages-span 10s",
	},
	{
		Section: "channel", Name: "tick", Syntax: durationSyntax, Max: 1, Default: "4ms", DecisionName: "tick",
		Doc:     "Events that arrive within this time are handled in one step.",
		Example: "tick 4ms",
	},
	{
		Section: "channel", Name: "probes", Syntax: flagSyntax, Default: "on", DecisionName: "probes",
		Doc:     "Whether backends may be probed.",
		Example: "probes on",
	},

	{
		Section: "method", Name: "effect", Syntax: wordSyntax, Choices: []string{"idempotent", "tokened", "non-idempotent"}, Default: required, DecisionName: "effect",
		Doc:     "The effect of a repeated execution of an RPC. idempotent: none beyond that of the first. tokened: none, because the RPC has an idempotency key by which backends detect and drop the repeat. non-idempotent: it may have an effect again.",
		Example: "effect tokened",
	},
	{
		Section: "method", Name: "tries", Syntax: wordSyntax, Choices: []string{"free", "proven", "once"}, Default: "free", DecisionName: "most_tries",
		Doc:     "When RPCs may be retried. free: whenever their effect permits it. proven: only after proof that the attempt was not processed. once: never.",
		Example: "tries proven",
	},
	{
		Section: "method", Name: "group", Syntax: wordSyntax, Choices: []string{"all", "zone", "cell"}, Default: "all", DecisionName: "group",
		Doc:     "For tokened RPCs: which backends share a store of idempotency keys, so that each drops repeats of RPCs that another one executed.",
		Example: "group all",
	},
	{
		Section: "method", Name: "window", Syntax: durationSyntax, Max: 3600, Default: "5s", DecisionName: "window",
		Doc:     "For tokened RPCs: how long an idempotency key is remembered.",
		Example: "window 5s",
	},
	{
		Section: "method", Name: "criticality", Syntax: numberSyntax, Max: 1e6, Default: required, DecisionName: "criticality",
		Doc:     "The value of an answer within the soft deadline. In an overload, RPCs with the lowest criticality are shed first.",
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
		Doc:     "on: RPCs must stay in the proxy's zone.",
		Example: "own-zone off",
	},
	{
		Section: "method", Name: "writes", Syntax: flagSyntax, Default: "off", DecisionName: "writes",
		Doc:     "Whether RPCs change data.",
		Example: "writes on",
	},
}
