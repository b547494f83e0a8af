package platform

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	"gingerfork/internal/statemachine"
)

// A recording pins the outputs of the machine byte for byte: a script that is drawn from a seed sends it all kinds of input,
// and the SHA-256 sum of the resulting actions is compared with the stored one. Log messages are left out. After an
// intended change of behaviour the sums are stored again with
//
//	go test ./internal/platform -run TestRecording -record
//
// To see where two versions differ, have both write their recordings as text with -transcripts and compare the files.
// The sums hold for amd64: on other processors the last bits of floating-point results may differ.
var (
	recordSums     = flag.Bool("record", false, "store the present sums of the recordings")
	transcriptsDir = flag.String("transcripts", "", "an absolute directory to which the recordings are written as text")
)

const recordingSums = "testdata/recording.sum"

// recording is the serialised output of a machine.
type recording struct {
	t    *testing.T
	sum  hash.Hash
	text *bytes.Buffer  // nil without -transcripts
	seen map[string]int // what occurred, for the checks of coverage
}

func newRecording(t *testing.T) *recording {
	r := &recording{t: t, sum: sha256.New(), seen: map[string]int{}}
	if *transcriptsDir != "" {
		r.text = &bytes.Buffer{}
	}
	return r
}

func (r *recording) add(format string, args ...any) {
	entry := fmt.Appendf(nil, format+"\n", args...)
	r.sum.Write(entry)
	if r.text != nil {
		r.text.Write(entry)
	}
}

// step adds the output of one step.
func (r *recording) step(now statemachine.Seconds, out *statemachine.Effects) {
	r.add("step %s wake %s", exact(now), exact(out.WakeAt))
	for _, act := range out.Actions {
		r.action(act)
	}
	for _, name := range slices.Sorted(maps.Keys(out.Files)) {
		r.add("save %q %q", name, out.Files[name])
	}
	for _, put := range out.Mutations {
		r.add("put %q %q", put.Key, put.Value)
	}
	if out.Batch != 0 {
		r.add("batch %d", out.Batch)
	}
	if out.Failure != "" || len(out.Trace) > 0 {
		r.t.Fatalf("an output that recordings do not cover: failure %q, %d trace records", out.Failure, len(out.Trace))
	}
	if out.Stop {
		r.add("stop")
	}
}

func (r *recording) action(act statemachine.Action) {
	switch act.Kind {
	case statemachine.ActionDial:
		r.add("dial %s %q", connName(act.Conn), act.Addr)
	case statemachine.ActionWrite:
		r.add("write %s %q", connName(act.Conn), act.Data)
	case statemachine.ActionClose:
		r.add("close %s", connName(act.Conn))
	case statemachine.ActionAbort:
		r.add("reset %s", connName(act.Conn))
	default:
		r.t.Fatalf("an action of the unknown kind %d", act.Kind)
	}
}

// exact writes a number with all its bits.
func exact(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func connName(conn statemachine.Conn) string {
	if conn&statemachine.DialedBit != 0 {
		return fmt.Sprintf("out/%d", conn&^statemachine.DialedBit)
	}
	return fmt.Sprintf("in/%d", conn)
}

// finish compares the sum with the stored one, or stores it.
func (r *recording) finish(name string) {
	r.t.Helper()
	if r.text != nil {
		if err := os.WriteFile(filepath.Join(*transcriptsDir, name+".txt"), r.text.Bytes(), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	got, stored := hex.EncodeToString(r.sum.Sum(nil)), readSums(r.t)
	if *recordSums && !r.t.Failed() {
		stored[name] = got
		writeSums(r.t, stored)
		return
	}
	if want := stored[name]; got != want {
		r.t.Errorf("recording %s: the outputs have the sum\n%s %s\nand %s has\n%s %s", name, name, got, recordingSums, name, want)
	}
}

// readSums reads a file with a name and a sum in each line.
func readSums(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.ReadFile(recordingSums)
	if err != nil && (!*recordSums || !os.IsNotExist(err)) {
		t.Fatal(err)
	}
	sums := map[string]string{}
	for entry := range bytes.Lines(file) {
		words := bytes.Fields(entry)
		if len(words) != 2 {
			t.Fatalf("%s: not a name and a sum: %q", recordingSums, entry)
		}
		sums[string(words[0])] = string(words[1])
	}
	return sums
}

func writeSums(t *testing.T, sums map[string]string) {
	t.Helper()
	var file []byte
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		file = fmt.Appendf(file, "%s %s\n", name, sums[name])
	}
	if err := os.MkdirAll(filepath.Dir(recordingSums), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordingSums, file, 0o644); err != nil {
		t.Fatal(err)
	}
}

// covers checks that the recording has at least so many of each thing, so that a script can't lose its content unnoticed.
func (r *recording) checkCoverage(least map[string]int) {
	r.t.Helper()
	for _, what := range slices.Sorted(maps.Keys(least)) {
		if r.seen[what] < least[what] {
			r.t.Errorf("the recording has %d of %q, it should have at least %d", r.seen[what], what, least[what])
		}
	}
}

// recordingVariant is a setting under which a script is played.
type recordingVariant struct {
	name    string
	seed    uint64
	changes map[string]any
	least   map[string]int // occurrences beyond recordingCoverage
}

var recordingVariants = []recordingVariant{
	{name: "plain", seed: 14, least: map[string]int{"probe asks health": 20}},
	{
		name: "shares-with-load-feedback", seed: 12, changes: map[string]any{
			"level_kind": "share", "Feedback.Source": "servers",
			"Feedback.Columns.n": 2.0, "Feedback.Columns.0": "cpu", "Feedback.Columns.1": "queue", "price.crossing": 0.1,
		},
		least: map[string]int{"probe asks load": 20, "push with an admission level below 1": 20},
	},
	{
		name: "rates-and-zone-bound-methods", seed: 13, changes: map[string]any{
			"level_kind": "rate", "method.0.own_zone": true, "pick": "random",
			"method.1.effect": "tokened", "method.1.group": "all", "method.1.window": 10.0, "message_lines": 3.0, "ask_within": 3.0,
		},
		least: map[string]int{"push for some methods": 20},
	},
}

func TestRecording(t *testing.T) {
	for _, variant := range recordingVariants {
		t.Run(variant.name, func(t *testing.T) {
			s := newScript(t, variant)
			s.play()
			s.recording.checkCoverage(recordingCoverage)
			s.recording.checkCoverage(variant.least)
			s.recording.finish(variant.name)
		})
	}
}

// recordingCoverage has the occurrences that every recording must have at least.
var recordingCoverage = map[string]int{
	"proxy joins with fresh=0": 80, "proxy joins with fresh=1": 25, "proxy joins late": 15, "collector joins": 30,
	"stream replaced": 40, "connection rejected": 100, "unjoined connection evicted": 200, "peer closes a connection": 100,
	"machine closes a connection": 500, "machine closes an idle stream": 4, "idle connection closed": 10,
	"invalid message dropped": 20, "connection closed for malformed data": 15, "split bytes": 1000,
	"usage report": 3000, "attempt report": 2000, "fault: heartbeat": 15, "message of the kind hb_ok": 15,
	"nonce acknowledged": 800, "nonce not acknowledged": 400, "stale acknowledgement": 20,
	"message of the kind assign": 1500, "message of the kind reject": 100, "push with whole": 500, "push with changed entries": 700,
	"push with ticket": 1500, "push with out": 80, "push with back": 150, "push with level": 600, "push that forbids retries": 5,
	"dial to discovery": 50, "dial to a backend": 60, "dial that is refused": 8, "dial that fails for want of local resources": 8,
	"discovery is asked for all": 2, "discovery is asked for changes at once": 30, "discovery is asked to wait for changes": 40,
	"list in chunks": 8, "list without its length": 8, "list with its length": 25, "backend is active": 30, "backend is leaving": 10,
	"backend is left": 10, "probe answer: OK": 8, "probe answer: hang": 15, "probe answer: reset": 10, "probe answer: unavailable": 8,
	"probe answer: cut off": 5, "probe answer: malformed": 1, "probe answer: OK with load": 1, "fault: settings are read again": 15,
	"discovery answers: unavailable": 1, "discovery answers: unavailable and closed": 1, "discovery answers: hang": 1,
	"discovery answers: reset": 1, "discovery answers: cut off": 1, "discovery answers: cut chunk": 1,
	"discovery answers: malformed list": 1, "discovery answers: malformed HTTP": 1, "discovery answers: too long": 1,
	"discovery answers: old list": 1,
}
