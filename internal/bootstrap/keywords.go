package bootstrap

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// form is the syntax of a keyword's value.
type form uint8

const (
	duration form = iota
	share
	number
	whole
	flag    // on or off
	word    // one of Choices, or any name if there are none
	names   // one or more names
	address // HOST:PORT
	path
	peer // NUMBER HOST:PORT, may stand many times
)

func (f form) String() string {
	return [...]string{"TIME", "SHARE", "NUMBER", "WHOLE", "on|off", "NAME", "NAME...", "HOST:PORT", "PATH", "NUMBER HOST:PORT"}[f]
}

// Keyword is one setting: what docs/settings.md says of it stands here, and the module's name for it.
type Keyword struct {
	Section      string
	Name         string
	Syntax       form
	Choices      []string
	Min          float64
	Max          float64 // 0: no bound
	Default      string  // "": it must be given
	DecisionName string  // the module's name of the value; "": it is the program's own
	Doc          string
	Example      string
}

const need = ""

// Keywords are all settings, in the order of the documentation.
var Keywords = []Keyword{
	{"instance", "zone", word, nil, 0, 0, need, "zone", "The data centre that this coordinator is in.", "zone dc-kewdale"},
	{"instance", "listen", address, nil, 0, 0, need, "", "Where proxies and other coordinators reach this one.", "listen 127.0.0.1:7400"},
	{"instance", "list-service", address, nil, 0, 0, need, "", "Where the list service is reached.", "list-service 127.0.0.1:7300"},
	{"instance", "list-from", path, nil, 0, 0, "-", "", "A file in HAProxy's format whose servers this process lists itself, at list-service; SIGHUP reads it again. - : a list service elsewhere.", "list-from web.cfg"},
	{"instance", "list-pool", word, nil, 0, 0, "-", "", "Which of its backends; - if it has one.", "list-pool tasks"},
	{"instance", "list-drain", duration, nil, 0, 86400, "30s", "", "A server that left the file drains for so long before it leaves the list.", "list-drain 30s"},
	{"instance", "list-most-lost", share, nil, 0, 1, "50%", "", "A file that takes more of the servers out of use is held back until it is read a second time.", "list-most-lost 50%"},
	{"instance", "state", path, nil, 0, 0, "-", "", "The folder for what is kept between starts: list, drains, marks, in a store (docs/store.md); - keeps nothing. Relative to the file.", "state /var/lib/gingerfork"},
	{"instance", "seed", whole, nil, 0, 1 << 53, "1", "", "What chance is drawn from; two coordinators should differ.", "seed 41"},
	{"instance", "coordinators", whole, nil, 1, 1000, "1", "coordinators", "How many coordinators share the fleet.", "coordinators 2"},
	{"instance", "self", whole, nil, 0, 999, "0", "self", "This one's number among them, from 0.", "self 1"},
	{"instance", "peer", peer, nil, 0, 999, "-", "", "Where another coordinator is reached; once for each.", "peer 1 127.0.0.1:7401"},
	{"instance", "handshake", duration, nil, 0.05, 600, "5s", "", "Within this a new stream must have said hello.", "handshake 5s"},
	{"instance", "stream-silence", duration, nil, 0.1, 3600, "10s", "", "A proxy's stream that was silent for so long is closed; proxies report each report-period.", "stream-silence 10s"},
	{"instance", "list-silence", duration, nil, 0.1, 3600, "5s", "", "The same for the list service, which shows itself once a second.", "list-silence 5s"},
	{"instance", "probe-timeout", duration, nil, 0.01, 60, "1s", "", "A probe without an answer for so long has failed.", "probe-timeout 1s"},
	{"instance", "streams", whole, nil, 1, 1 << 20, "10000", "", "Streams taken at once; more are refused.", "streams 10000"},
	{"instance", "probes-at-once", whole, nil, 1, 10000, "64", "", "Probes under way at once; more wait.", "probes-at-once 64"},
	{"instance", "reader-buffer", whole, nil, 4096, 1 << 30, "4194304", "", "Bytes that may wait for a proxy that does not read; past it its stream is cut.", "reader-buffer 4194304"},

	{"fleet", "zones", names, nil, 0, 0, need, "zones", "All data centres.", "zones dc-kewdale dc-malaga"},
	{"fleet", "proxy-count", whole, nil, 1, 1 << 20, need, "proxies", "Proxies of all coordinators together, about.", "proxy-count 8"},
	{"fleet", "warm-after", duration, nil, 0, 3600, need, "warm_after", "A server is warm no later than this after its start.", "warm-after 15s"},
	{"fleet", "cold-share", share, nil, 0.01, 1, need, "cold_share", "What a server can do of its usual work just after its start, at least.", "cold-share 28%"},
	{"fleet", "fall-multiple", number, nil, 1, 1000, need, "fall_multiple", "A cold server falls over when it is sent more than this multiple of what it can do at that time,", "fall-multiple 2.5"},
	{"fleet", "fall-window", duration, nil, 0.01, 600, need, "fall_window", "for this long.", "fall-window 1500ms"},
	{"fleet", "drain-grace", duration, nil, 0.05, 600, need, "drain_grace", "Within this after the coordinator was told, no proxy sends to a server that drains or is gone.", "drain-grace 2100ms"},
	{"fleet", "only-draining-binds", flag, nil, 0, 0, "off", "only_draining_binds", "on: a server dropped from the list without draining may stay in tables.", "only-draining-binds off"},
	{"fleet", "bare-limit", duration, nil, 0.05, 600, need, "bare_limit", "No proxy lacks a line for longer than this while an open warm server is listed.", "bare-limit 3700ms"},
	{"fleet", "connections", number, nil, 0, 1e9, "0", "connections", "Connections that the smallest servers take; 0: not known.", "connections 229"},

	{"list", "listing", word, []string{"asked", "pushed"}, 0, 0, "asked", "listing", "asked: news of the list comes after it is asked for. pushed: it comes unasked.", "listing asked"},
	{"list", "ask-within", duration, nil, 0.1, 3600, "10s", "ask_within", "A coordinator that has not asked for so long counts as told.", "ask-within 10s"},
	{"list", "weight-kind", word, []string{"none", "nominal", "rough", "live"}, 0, 0, "rough", "weight_kind", "What the list's weights mean.", "weight-kind rough"},

	{"proxies", "pick", word, []string{"lottery", "even", "pair"}, 0, 0, need, "pick", "How proxies pick a line: by lot by weight, evenly by weight, or of two drawn the one with fewer RPCs under way.", "pick pair"},
	{"proxies", "strikes", whole, nil, 0, 1000, "0", "strikes", "Failures in a row after which a proxy keeps away from a server for some seconds; 0: never.", "strikes 5"},
	{"proxies", "try-wait", share, nil, 0, 1, "80%", "try_wait", "Where tries may follow, what each waits, as a part of the soft deadline.", "try-wait 80%"},
	{"proxies", "usual-tries", word, []string{"once", "proven", "again", "twice"}, 0, 0, "once", "usual_tries", "When a proxy tries again that was told nothing.", "usual-tries once"},
	{"proxies", "level-kind", word, []string{"none", "share", "rate"}, 0, 0, "none", "level_kind", "What proxies make of levels: nothing, a share let in, or RPCs a second.", "level-kind share"},
	{"proxies", "report-period", duration, nil, 0.05, 60, need, "report_period", "How often proxies send their sums.", "report-period 2s"},
	{"proxies", "intake", number, nil, 0, 1e9, "0", "intake", "Lines of sums a second that reach the decisions, oldest first; 0: all.", "intake 500"},
	{"proxies", "push-time", duration, nil, 0, 60, need, "push_time", "Mean time of a push from the channel to the proxy.", "push-time 135ms"},
	{"proxies", "push-time-worst", duration, nil, 0, 60, need, "push_time_worst", "The longest such time.", "push-time-worst 340ms"},

	{"channel", "room", number, nil, 1, 1e9, need, "channel_room", "Lines that may wait in the channel, heads included.", "room 14100"},
	{"channel", "pace", number, nil, 1, 1e9, need, "channel_pace", "Lines a second that leave it.", "pace 14100"},
	{"channel", "message-lines", number, nil, 0, 10000, "10", "message_lines", "Lines that a message counts beside its own.", "message-lines 10"},
	{"channel", "messages", whole, nil, 0, 1 << 20, "0", "messages", "Messages that one proxy may be sent within messages-span; 0: any number.", "messages 30"},
	{"channel", "messages-span", duration, nil, 0.1, 3600, "10s", "messages_span", "The span for that count.", "messages-span 10s"},
	{"channel", "tick", duration, nil, 0, 1, "4ms", "tick", "What happens within so long is decided on together.", "tick 4ms"},
	{"channel", "probes", flag, nil, 0, 0, "on", "probes", "Whether servers may be probed.", "probes on"},

	{"method", "effect", word, []string{"idempotent", "tokened", "non-idempotent"}, 0, 0, need, "effect", "What a second run of the RPC does.", "effect tokened"},
	{"method", "tries", word, []string{"free", "proven", "once"}, 0, 0, "free", "most_tries", "What its RPCs may be tried again for. free: what their effect permits. proven: only after proof that they never ran. once: nothing.", "tries proven"},
	{"method", "group", word, []string{"all", "zone", "cell"}, 0, 0, "all", "group", "For tokened RPCs, which servers drop each other's repeats.", "group all"},
	{"method", "window", duration, nil, 0, 3600, "5s", "window", "For tokened RPCs, for how long repeats are dropped.", "window 5s"},
	{"method", "criticality", number, nil, 0, 1e6, need, "criticality", "What an answer within the soft deadline counts.", "criticality 2"},
	{"method", "soft-deadline", duration, nil, 0.001, 3600, need, "soft_deadline", "Within this an answer is wanted.", "soft-deadline 800ms"},
	{"method", "deadline", duration, nil, 0.001, 3600, need, "deadline", "After this the client gives up.", "deadline 2s"},
	{"method", "own-zone", flag, nil, 0, 0, "off", "own_zone", "on: its RPCs stay in the proxy's zone.", "own-zone off"},
	{"method", "writes", flag, nil, 0, 0, "off", "writes", "Whether it changes anything.", "writes on"},
}

// Sections are the sections, with what stands behind their name on the line that opens them.
var Sections = []struct{ Name, Arg, Doc string }{
	{"instance", "NAME", "One coordinator: where it listens and what it reaches."},
	{"fleet", "", "What all coordinators, proxies and servers of the fleet share, and the rules' figures."},
	{"list", "", "How news of the list comes."},
	{"proxies", "", "What the proxies do."},
	{"channel", "", "What may be sent, how much and how often."},
	{"method", "NAME", "One method; a section for each, in the order in which proxies number them."},
}

// IsSection tells whether a word opens a section of a settings file.
func IsSection(word string) bool { return slices.Contains(sectionNames(), word) }

func keywords(section string) (all []string) {
	for _, k := range Keywords {
		if k.Section == section {
			all = append(all, k.Name)
		}
	}
	return all
}

func find(section, name string) *Keyword {
	for i := range Keywords {
		if Keywords[i].Section == section && Keywords[i].Name == name {
			return &Keywords[i]
		}
	}
	return nil
}

// value reads what stands behind a keyword, as the module wants it: a float64, a string or a bool.
func (k *Keyword) value(args []string) (any, error) {
	if k.Syntax == names {
		if len(args) == 0 {
			return nil, fmt.Errorf("%s takes one or more names, has none", k.Name)
		}
		for i, a := range args {
			if slices.Contains(args[:i], a) {
				return nil, fmt.Errorf("%s names %s twice", k.Name, a)
			}
		}
		return args, nil
	}
	if k.Syntax == peer {
		if len(args) != 2 {
			return nil, fmt.Errorf("%s takes a number and an address, has %d words", k.Name, len(args))
		}
		if _, err := ParseInteger(args[0], 0, int(k.Max)); err != nil {
			return nil, fmt.Errorf("%s: %w", k.Name, err)
		}
		return args, addressFault(k.Name, args[1])
	}
	if len(args) != 1 {
		return nil, fmt.Errorf("%s takes one value, has %d", k.Name, len(args))
	}
	a := args[0]
	var v float64
	var err error
	switch k.Syntax {
	case flag:
		if a != "on" && a != "off" {
			return nil, fmt.Errorf("%s: %q is neither on nor off", k.Name, a)
		}
		return a == "on", nil
	case word:
		if k.Choices != nil && !slices.Contains(k.Choices, a) {
			return nil, fmt.Errorf("%s: %q is none of %s%s", k.Name, a, strings.Join(k.Choices, ", "), meant(a, k.Choices))
		}
		return a, nil
	case path:
		return a, nil
	case address:
		return a, addressFault(k.Name, a)
	case duration:
		v, err = ParseDuration(a)
	case share:
		v, err = ParseShare(a)
	case number:
		v, err = ParseNumber(a)
	case whole:
		var n int
		n, err = ParseInteger(a, int(k.Min), int(k.Max))
		v = float64(n)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Name, err)
	}
	if v < k.Min || k.Max > 0 && v > k.Max {
		unit := ""
		if k.Syntax == duration {
			unit = "s"
		}
		if k.Max == 0 {
			return nil, fmt.Errorf("%s: %s is below %v%s", k.Name, a, k.Min, unit)
		}
		return nil, fmt.Errorf("%s: %s is out of range, %v%s to %v%s expected", k.Name, a, k.Min, unit, k.Max, unit)
	}
	return v, nil
}

func addressFault(name, a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %q is no address, HOST:PORT expected (such as 127.0.0.1:7400)", name, a)
	}
	if _, err := ParseInteger(port, 0, 65535); err != nil {
		return fmt.Errorf("%s: port %w", name, err)
	}
	return nil
}

func meant(w string, known []string) string {
	if n := ClosestWord(w, known); n != "" {
		return fmt.Sprintf(" (did you mean %s?)", n)
	}
	return ""
}
