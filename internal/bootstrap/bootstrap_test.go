package bootstrap

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/choice"
)

const validSettings = `
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
	settings, parseFaults := Parse("x.conf", lines)
	return settings, append(faults, parseFaults...)
}

// Parse must store the settings of package choice under that package's names and with times in seconds, and the defaults of those
// that are not given.
func TestDecisionSettings(t *testing.T) {
	settings, faults := parse(t, validSettings)
	if faults.Err() != nil {
		t.Fatalf("valid settings have the faults %v", faults)
	}
	config := choice.Config{Settings: choice.DecodeSettings(settings.Values)}
	for name, want := range map[string]float64{
		"warm_after": 15, "cold_share": 0.28, "fall_multiple": 2.5, "fall_window": 1.5, "drain_grace": 2.1,
		"bare_limit": 3.7, "proxies": 8, "channel_room": 14100, "channel_pace": 14100, "message_lines": 10, "messages": 0, "messages_span": 10,
		"push_time": 0.135, "push_time_worst": 0.34, "report_period": 2, "strikes": 0, "try_wait": 0.8, "ask_within": 10, "slices": 0, "method.n": 2,
		"method.0.soft_deadline": 1, "method.0.criticality": 1, "method.1.soft_deadline": 0.8, "method.1.window": 5, "zones.n": 2,
	} {
		if got, ok := settings.Values[name].(float64); !ok || got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	for name, want := range map[string]string{
		"zone": "dc a", "zones.1": "dc b", "level_kind": "none", "listing": "asked", "pick": "pair",
		"method.1.effect": "non-idempotent", "method.1.group": "all", "method.0.name": "read",
	} {
		if got, ok := settings.Values[name].(string); !ok || got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if !config.Settings.ProbesAllowed || settings.Peers[1] != "127.0.0.1:7401" || settings.Text("state") != "here" || settings.Number("handshake") != 5 || settings.Name != "west-1" {
		t.Errorf("probes allowed %v, settings %+v", config.Settings.ProbesAllowed, settings)
	}
}

// Each fault must be reported with its message and its line.
func TestFaults(t *testing.T) {
	replaced := func(old, replacement string) string { return strings.Replace(validSettings, old, replacement, 1) }
	for text, want := range map[string]string{
		replaced("zone \"dc a\"", "zone dc"):                     "x.conf:3: zone dc is not among the fleet's zones dc a, dc b",
		replaced("pick pair", "pick piar"):                       `x.conf:18: pick: "piar" is not one of lottery, even, pair (did you mean pair?)`,
		replaced("warm-after 15s", "warm-after 15"):              `x.conf:11: warm-after: "15" has no unit`,
		replaced("warm-after 15s", "warm-after 30%"):             `x.conf:11: warm-after: "30%" is not a time`,
		replaced("cold-share 28%", "cold-share 280%"):            `x.conf:12: cold-share: "280%" is not a share`,
		replaced("cold-share 28%", "cold-share 0"):               `x.conf:12: cold-share: 0 is out of range, 0.01 to 1 expected`,
		replaced("proxy-count 8", "proxy-count -8"):              `x.conf:10: proxy-count: "-8" is not a whole number from 1 to 1048576`,
		replaced("fall-multiple", "fall-multple"):                "x.conf:13: fall-multple is not a keyword of fleet (did you mean fall-multiple?)",
		replaced("  drain-grace 2100ms\n", ""):                   "x.conf:8: fleet lacks drain-grace (such as: drain-grace 2100ms)",
		replaced("pace 14100", "pace 14100\n  pace 3"):           "x.conf:25: pace is given a second time, first at x.conf:24",
		replaced("method submit", "method read"):                 "x.conf:30: method read is given a second time, first at x.conf:25",
		replaced("deadline 2500ms", "deadline 500ms"):            "x.conf:29: deadline 0.5s of method read is shorter than its soft deadline 1s",
		replaced("7400", "99999"):                                "x.conf:4: listen: port \"99999\" is not a whole number from 0 to 65535",
		replaced("127.0.0.1:7300", "there"):                      `x.conf:5: list-service: "there" is not an address`,
		replaced("zone \"dc a\"", "zone \"dc a"):                 "x.conf:3: a double quote is never closed",
		replaced("channel\n", "channel one\n"):                   "x.conf:22: channel takes 0 names, has 1",
		replaced("instance west-1", "state x\ninstance w"):       "x.conf:2: state is outside of any section",
		replaced("push-time-worst 340ms", "push-time-worst 1ms"): "x.conf:21: push-time-worst 0.001s is shorter than push-time 0.135s",
		"": "x.conf:1: there is no section instance",
	} {
		_, faults := parse(t, text)
		faults.Sort()
		if len(faults) == 0 || !slices.ContainsFunc(faults, func(f Fault) bool { return strings.HasPrefix(f.String(), want) }) {
			t.Errorf("got the faults %v\nwant one that begins with %s", faults, want)
		}
	}
	// Parse must report all faults of a file, each as a separate error.
	_, faults := parse(t, strings.NewReplacer("15s", "15", "pick pair", "pick x", "28%", "x").Replace(validSettings))
	if faults.Sort(); len(faults) != 3 || faults[0].Line != 11 || faults[1].Line != 12 || faults[2].Line != 18 {
		t.Errorf("got the faults %v, want 3, at lines 11, 12 and 18", faults)
	}
	var fault Fault
	if err := faults.Err(); !errors.As(err, &fault) || fault != faults[0] {
		t.Errorf("the first fault of %v is %v", err, fault)
	}
	var value *ValueError
	if _, err := ParseDuration("15"); !errors.As(err, &value) || value.Word != "15" {
		t.Errorf("a time without a unit: %v", err)
	}
}

// An included file's path must be relative to the including file, and a cycle of includes and a missing file must be reported.
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
	methodsStart := strings.Index(validSettings, "method read")
	main := write("main.conf", validSettings[:methodsStart]+"include sub/methods.conf\n")
	write("sub/methods.conf", validSettings[methodsStart:])
	if _, err := Read(main); err != nil {
		t.Fatal(err)
	}
	write("sub/methods.conf", validSettings[methodsStart:]+"include ../main.conf\n")
	if _, err := Read(main); err == nil || !strings.Contains(err.Error(), "includes itself (2 files deep)") || !strings.Contains(err.Error(), "methods.conf:11") {
		t.Errorf("a cycle of includes: %v", err)
	}
	write("sub/methods.conf", "include no.conf\n")
	if _, err := Read(main); err == nil || !strings.Contains(err.Error(), "no.conf can't be read: no such file") {
		t.Errorf("a missing file: %v", err)
	}
}

// docs/settings.md must be up to date, and the example and the default of each keyword must be valid.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil || string(page) != ReferencePage() {
		t.Fatalf("docs/settings.md differs from the definitions of the keywords (%v), regenerate it: go run ./cmd/gingerfork settings > docs/settings.md", err)
	}
	for _, k := range keywords {
		words, err := splitWords(k.Example)
		if err != nil || len(words) < 2 || words[0] != k.Name {
			t.Fatalf("%s: the example is %q, want the keyword and a value", k.Name, k.Example)
		}
		if _, err := k.parseValue(words[1:]); err != nil {
			t.Errorf("%s: the example is invalid: %v", k.Name, err)
		}
		if k.Default != required && k.Syntax != peerSyntax {
			if _, err := k.parseValue([]string{k.Default}); err != nil {
				t.Errorf("%s: the default is invalid: %v", k.Name, err)
			}
		}
	}
}

// Lex must read a word that Quote wrote unchanged.
func TestQuote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z "'#\\\t]{0,12}`).Draw(t, "word")
		lines, faults := Lex("x", "k "+Quote(word))
		if len(faults) > 0 || len(lines) != 1 || len(lines[0].Words) != 2 || lines[0].Words[1] != word {
			t.Fatalf("%q was quoted and read as %v, faults %v", word, lines, faults)
		}
	})
}

// No input may make the parser panic. Each fault must have a line and a message of one line, and each accepted number must be
// finite and within the bounds that are common to all keywords.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("instance\nfleet x\nzones\n'")
	f.Add("method a\neffect tokened\nwindow 1e9s\n include \"x")
	f.Fuzz(func(t *testing.T, text string) {
		lines, faults := Lex("x", text)
		settings, parseFaults := Parse("x", lines)
		if len(faults)+len(parseFaults) > 0 {
			for _, fault := range append(faults, parseFaults...) {
				if fault.Line < 1 || fault.Message == "" || strings.Contains(fault.Message, "\n") {
					t.Fatalf("the fault %q has no line, or a message that is empty or not one line", fault)
				}
			}
			return
		}
		for name, value := range settings.Values {
			if number, ok := value.(float64); ok && !(number >= 0 && number < 1e17) {
				t.Fatalf("%s is %v, want 0 to 1e17", name, number)
			}
		}
	})
}
