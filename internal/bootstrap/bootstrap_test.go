package bootstrap

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/choice"
)

const good = `
instance west-1 # the first
  zone "dc a"
  listen 127.0.0.1:7400
  list-service 127.0.0.1:7300
  peer 1 127.0.0.1:7401
  state here
fleet
  zones "dc a" 'dc b'
  proxy-count 8
  warm-after 15s
  cold-share 28%
  fall-multiple 2.5
  fall-window 1500ms
  drain-grace 2100ms
  bare-limit 3700ms
proxies
  pick pair
  report-period 2s
  push-time 135ms
  push-time-worst 340ms
channel
  room 14100
  pace 14100
method read
  effect idempotent
  criticality 1
  soft-deadline 1s
  deadline 2500ms
method submit
  effect non-idempotent
  criticality 2
  soft-deadline 800ms
  deadline 2s
`

func parse(t *testing.T, text string) (*Settings, Faults) {
	t.Helper()
	lines, faults := Lex("x.conf", text)
	trade, more := Parse("x.conf", lines)
	return trade, append(faults, more...)
}

// Every value that the module asks for comes from the settings, in the module's words and in seconds.
func TestSettingsReachTheModule(t *testing.T) {
	trade, faults := parse(t, good)
	if faults.Err() != nil {
		t.Fatal(faults)
	}
	b := choice.Config{Settings: choice.DecodeSettings(trade.Values)}
	for name, want := range map[string]float64{
		"warm_after": 15, "cold_share": 0.28, "fall_multiple": 2.5, "fall_window": 1.5, "drain_grace": 2.1,
		"bare_limit": 3.7, "proxies": 8, "channel_room": 14100, "channel_pace": 14100, "message_lines": 10, "messages": 0, "messages_span": 10,
		"push_time": 0.135, "push_time_worst": 0.34, "report_period": 2, "strikes": 0, "try_wait": 0.8, "ask_within": 10, "slices": 0, "method.n": 2,
		"method.0.soft_deadline": 1, "method.0.criticality": 1, "method.1.soft_deadline": 0.8, "method.1.window": 5, "zones.n": 2,
	} {
		if got, ok := trade.Values[name].(float64); !ok || got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	for name, want := range map[string]string{
		"zone": "dc a", "zones.1": "dc b", "level_kind": "none", "listing": "asked", "pick": "pair",
		"method.1.effect": "non-idempotent", "method.1.group": "all", "method.0.name": "read",
	} {
		if got, ok := trade.Values[name].(string); !ok || got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if !b.Settings.Probes || trade.Peers[1] != "127.0.0.1:7401" || trade.Text("state") != "here" || trade.Number("handshake") != 5 || trade.Name != "west-1" {
		t.Error(trade)
	}
}

// Each broken file gives its one message, with its line.
func TestFaultsAreNamed(t *testing.T) {
	line := func(was, is string) string { return strings.Replace(good, was, is, 1) }
	for text, want := range map[string]string{
		line("zone \"dc a\"", "zone dc"):                     "x.conf:3: zone dc is none of the fleet's zones dc a, dc b",
		line("pick pair", "pick piar"):                       `x.conf:18: pick: "piar" is none of lottery, even, pair (did you mean pair?)`,
		line("warm-after 15s", "warm-after 15"):              `x.conf:11: warm-after: "15" has no unit`,
		line("warm-after 15s", "warm-after 30%"):             `x.conf:11: warm-after: "30%" is no time`,
		line("cold-share 28%", "cold-share 280%"):            `x.conf:12: cold-share: "280%" is no share`,
		line("cold-share 28%", "cold-share 0"):               `x.conf:12: cold-share: 0 is out of range, 0.01 to 1 expected`,
		line("proxy-count 8", "proxy-count -8"):              `x.conf:10: proxy-count: "-8" is no whole number from 1 to 1048576`,
		line("fall-multiple", "fall-multple"):                "x.conf:13: fall-multple is no keyword of fleet (did you mean fall-multiple?)",
		line("  drain-grace 2100ms\n", ""):                   "x.conf:8: fleet lacks drain-grace (such as: drain-grace 2100ms)",
		line("pace 14100", "pace 14100\n  pace 3"):           "x.conf:25: pace stands here a second time, first at x.conf:24",
		line("method submit", "method read"):                 "x.conf:30: method read stands here a second time, first at x.conf:25",
		line("deadline 2500ms", "deadline 500ms"):            "x.conf:29: the deadline 0.5s of read is before its soft deadline 1s",
		line("7400", "99999"):                                "x.conf:4: listen: port \"99999\" is no whole number from 0 to 65535",
		line("127.0.0.1:7300", "there"):                      `x.conf:5: list-service: "there" is no address`,
		line("zone \"dc a\"", "zone \"dc a"):                 "x.conf:3: a double quote is never closed",
		line("channel\n", "channel one\n"):                   "x.conf:22: channel takes 0 names, has 1",
		line("instance west-1", "state x\ninstance w"):       "x.conf:2: state stands outside of any section",
		line("push-time-worst 340ms", "push-time-worst 1ms"): "x.conf:21: push-time-worst is shorter than push-time",
		"": "x.conf:1: there is no section instance",
	} {
		_, faults := parse(t, text)
		faults.Sort()
		if len(faults) == 0 || !slices.ContainsFunc(faults, func(f Fault) bool { return strings.HasPrefix(f.String(), want) }) {
			t.Errorf("got %v\nwant %s", faults, want)
		}
	}
	// All faults of a file in one run, in the order of its lines.
	_, faults := parse(t, strings.NewReplacer("15s", "15", "pick pair", "pick x", "28%", "x").Replace(good))
	if faults.Sort(); len(faults) != 3 || faults[0].Line != 11 || faults[1].Line != 12 || faults[2].Line != 18 {
		t.Error(faults)
	}
}

func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err == nil {
			err = os.WriteFile(path, []byte(text), 0o644)
			if err != nil {
				t.Fatal(err)
			}
		}
		return path
	}
	at := strings.Index(good, "method read")
	main := write("main.conf", good[:at]+"include sub/methods.conf\n")
	write("sub/methods.conf", good[at:])
	if _, err := Read(main); err != nil {
		t.Fatal(err)
	}
	write("sub/methods.conf", good[at:]+"include ../main.conf\n")
	if _, err := Read(main); err == nil || !strings.Contains(err.Error(), "includes itself (2 files deep)") || !strings.Contains(err.Error(), "methods.conf:11") {
		t.Errorf("a circle: %v", err)
	}
	write("sub/methods.conf", "include no.conf\n")
	if _, err := Read(main); err == nil || !strings.Contains(err.Error(), "no.conf can't be read: no such file") {
		t.Errorf("a missing file: %v", err)
	}
}

func TestDocumentIsTrue(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil || string(page) != Document() {
		t.Fatalf("docs/settings.md is not what the keywords say (%v): go run ./cmd/gingerfork settings > docs/settings.md", err)
	}
	for _, k := range Keywords {
		words, fault := split(k.Example)
		if fault != "" || len(words) < 2 || words[0] != k.Name {
			t.Fatalf("%s: its example is %q", k.Name, k.Example)
		}
		if _, err := k.value(words[1:]); err != nil {
			t.Errorf("%s: its example is bad: %v", k.Name, err)
		}
		if k.Default != need && k.Syntax != peer {
			if _, err := k.value([]string{k.Default}); err != nil {
				t.Errorf("%s: its default is bad: %v", k.Name, err)
			}
		}
	}
}

// Words that are quoted come back.
func TestQuote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.StringMatching(`[a-z "'#\\\t]{0,12}`).Draw(t, "word")
		lines, faults := Lex("x", "k "+Quote(w))
		if len(faults) > 0 || len(lines) != 1 || len(lines[0].Words) != 2 || lines[0].Words[1] != w {
			t.Fatalf("%q: %v %v", w, lines, faults)
		}
	})
}

// No text may make the reader panic, and what it takes must hold no value that it would refuse.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("instance\nfleet x\nzones\n'")
	f.Add("method a\neffect tokened\nwindow 1e9s\n include \"x")
	f.Fuzz(func(t *testing.T, text string) {
		lines, faults := Lex("x", text)
		trade, more := Parse("x", lines)
		if len(faults)+len(more) > 0 {
			for _, x := range append(faults, more...) {
				if x.Line < 1 || x.Message == "" || strings.Contains(x.Message, "\n") {
					t.Fatalf("%q", x)
				}
			}
			return
		}
		for name, v := range trade.Values {
			if n, ok := v.(float64); ok && !(n >= 0 && n < 1e17) {
				t.Fatalf("%s is %v", name, n)
			}
		}
	})
}
