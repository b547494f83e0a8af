package main

import (
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// parsedFlags parses a command line. It returns the type name of the selected command and the values of its flags and
// arguments by name.
func parsedFlags(t *testing.T, args []string) (command string, values map[string]any) {
	t.Helper()
	cli := &program{out: io.Discard, err: io.Discard}
	parser, err := newParser(cli, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	selected := parsed.Selected()
	values = map[string]any{}
	for _, flag := range selected.Flags {
		values[flag.Name] = flag.Target.Interface()
	}
	for _, argument := range selected.Positional {
		values[argument.Name] = argument.Target.Interface()
	}
	return selected.Target.Type().Name(), values
}

// commandLines are pairs of equivalent command lines, in the current spelling and with earlier names of commands and flags.
// Every alias occurs at least once.
var commandLines = []struct{ standard, earlier string }{
	{"scenario", "rehearse"},
	{"scenario --virtual --seed 7 --trace t evening cut", "rehearse --virtual --seed 7 --trace t evening cut"},
	{"scenario --compare-baselines --json incidents", "rehearse --beside --json incidents"},
	{"scenario --plot p --artifacts a --crashes 3 --scale 2 my.day", "rehearse --picture p --keep a --kills 3 --scale 2 my.day"},
	{"scenario --search 20", "rehearse --search 20"},
	{"fake frontend --settings s --coordinator c --name f --zone z --rate 5 --seed 2", "standin frontend --settings s --coordinator c --name f --zone z --rate 5 --seed 2"},
	{"fake backend --listen l --id 3 --cold --trace t", "standin server --listen l --ep 3 --cold --trace t"},
	{"fake endpoints --listen l 1,z,1,h:1 2,z,1,h:2", "standin list --listen l 1,z,1,h:1 2,z,1,h:2"},
	{"emulate --event-loops 2 --duration 5s --part 1/2 fleet", "emulate --loops 2 --for 5s --part 1/2 fleet"},
	{
		"load --settings s --backend h:1 --backend h:2 --rate-variation 0.5 --duration 9s --swing 20% --swing-period 3s",
		"load --settings s --server h:1 --server h:2 --uneven 0.5 --for 9s --wave 20% --over 3s",
	},
	{
		"load --settings s --burst 150% --burst-interval 1s --burst-duration 200ms --keys 5 --zipf-exponent 1.5",
		"load --settings s --bursts 150% --every 1s --lasting 200ms --keys 5 --zipf 1.5",
	},
	{
		"load --settings s --retry-chance 50% --retry-backoff 20ms --retry-limit 4 --plot p",
		"load --settings s --again 50% --after 20ms --at-most 4 --picture p",
	},
	{"measure --plot p retries", "measure --picture p retries"},
	{"experiment compare a b --scenario cut", "experiment compare a b --day cut"},
}

// Scripts written for earlier versions must keep working: both spellings select the same command with the same values.
func TestEarlierSpellingsParseTheSame(t *testing.T) {
	for _, line := range commandLines {
		t.Run(line.earlier, func(t *testing.T) {
			wantCommand, want := parsedFlags(t, strings.Fields(line.standard))
			gotCommand, got := parsedFlags(t, strings.Fields(line.earlier))
			if gotCommand != wantCommand {
				t.Errorf("selects %s, want %s", gotCommand, wantCommand)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("parses to %v, want %v", got, want)
			}
		})
	}
}

// The earlier name of a command gives the same output and the same trace.
func TestEarlierSpellingsGiveTheSameResult(t *testing.T) {
	dir := t.TempDir()
	results := map[string]string{}
	for _, command := range []string{"scenario", "rehearse"} {
		traceFile := filepath.Join(dir, command)
		code, out, errOut := runCommand(command, "--virtual", "--seed", "7", "--trace", traceFile, "cut")
		if code != exitOK {
			t.Fatalf("%s: exit code %d, error output %q", command, code, errOut)
		}
		records, err := os.ReadFile(traceFile)
		if err != nil {
			t.Fatal(err)
		}
		results[command] = out + string(records)
	}
	if results["scenario"] != results["rehearse"] {
		t.Error("scenario and rehearse differ in their output or their trace")
	}
}

// The help texts do not show the earlier names.
func TestHelpHidesEarlierSpellings(t *testing.T) {
	earlier := regexp.MustCompile(`rehearse|standin|--(beside|kills|picture|keep|uneven|for|wave|over|bursts|every|lasting|zipf|again|after|at-most|loops|server|ep|day)\b[^-]`)
	for _, command := range []string{"", "scenario", "fake", "fake backend", "fake endpoints", "emulate", "load", "measure", "experiment compare"} {
		code, out, errOut := runCommand(append(strings.Fields(command), "--help")...)
		if code != exitOK {
			t.Errorf("%s --help: exit code %d, error output %q", command, code, errOut)
		}
		if found := earlier.FindString(out); found != "" {
			t.Errorf("%s --help shows %q:\n%s", command, found, out)
		}
	}
}
