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

// A recording detects any change of the machine's outputs, to the byte: a script that is drawn from a seed gives the machine all
// kinds of input, and the SHA-256 sum of the resulting outputs is compared with a stored one. Log messages are left out. After
// an intended change of behavior, store new sums with
//
//	go test ./internal/platform -run TestRecording -record
//
// To see where two versions differ, have both write their recordings as text with -transcripts, and compare the files.
// The sums are valid for amd64: on other processors the last bits of floating-point results may differ.
var (
	recordSums     = flag.Bool("record", false, "store the sums of the recordings instead of comparing them")
	transcriptsDir = flag.String("transcripts", "", "an absolute directory to which the recordings are written as text")
)

// recordingSums is the file with the stored sums.
const recordingSums = "testdata/recording.sum"

// recording is the output of a machine, serialized as lines of text.
type recording struct {
	t           *testing.T
	hash        hash.Hash
	transcript  *bytes.Buffer  // all lines; nil without -transcripts
	occurrences map[string]int // how often each kind of event occurred, for checkCoverage
}

func newRecording(t *testing.T) *recording {
	r := &recording{t: t, hash: sha256.New(), occurrences: map[string]int{}}
	if *transcriptsDir != "" {
		r.transcript = &bytes.Buffer{}
	}
	return r
}

// addLine adds a formatted line.
func (r *recording) addLine(format string, args ...any) {
	line := fmt.Appendf(nil, format+"\n", args...)
	r.hash.Write(line)
	if r.transcript != nil {
		r.transcript.Write(line)
	}
}

// addStep adds the outputs of one step of the machine.
func (r *recording) addStep(now statemachine.Seconds, out *statemachine.Effects) {
	r.addLine("step %s wake %s", formatExact(now), formatExact(out.WakeAt))
	for _, action := range out.Actions {
		r.addAction(action)
	}
	for _, name := range slices.Sorted(maps.Keys(out.Files)) {
		r.addLine("save %q %q", name, out.Files[name])
	}
	for _, mutation := range out.Mutations {
		r.addLine("put %q %q", mutation.Key, mutation.Value)
	}
	if out.Batch != 0 {
		r.addLine("batch %d", out.Batch)
	}
	if out.Failure != "" || len(out.Trace) > 0 {
		r.t.Fatalf("the step has an output that recordings do not cover: failure %q, %d trace records", out.Failure, len(out.Trace))
	}
	if out.Stop {
		r.addLine("stop")
	}
}

// addAction adds one action of a step.
func (r *recording) addAction(action statemachine.Action) {
	switch action.Kind {
	case statemachine.ActionDial:
		r.addLine("dial %s %q", connName(action.Conn), action.Addr)
	case statemachine.ActionWrite:
		r.addLine("write %s %q", connName(action.Conn), action.Data)
	case statemachine.ActionClose:
		r.addLine("close %s", connName(action.Conn))
	case statemachine.ActionAbort:
		r.addLine("reset %s", connName(action.Conn))
	default:
		r.t.Fatalf("the step has an action of the unknown kind %d", action.Kind)
	}
}

// formatExact returns a number as text that identifies it to the last bit.
func formatExact(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// connName returns the name of a connection in a recording: its direction, as seen from the machine, and its number.
func connName(conn statemachine.Conn) string {
	if conn&statemachine.DialedBit != 0 {
		return fmt.Sprintf("out/%d", conn&^statemachine.DialedBit)
	}
	return fmt.Sprintf("in/%d", conn)
}

// checkSum compares the sum of the recording with the stored one, or stores it if the flag -record is set.
func (r *recording) checkSum(name string) {
	r.t.Helper()
	if r.transcript != nil {
		if err := os.WriteFile(filepath.Join(*transcriptsDir, name+".txt"), r.transcript.Bytes(), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	got, stored := hex.EncodeToString(r.hash.Sum(nil)), readSums(r.t)
	if *recordSums && !r.t.Failed() {
		stored[name] = got
		writeSums(r.t, stored)
		return
	}
	if want := stored[name]; got != want {
		r.t.Errorf("recording %s: the sum of the outputs is\n%s %s\nand in %s it is\n%s %s", name, name, got, recordingSums, name, want)
	}
}

// readSums returns the stored sums by name. Each line of their file has a name and a sum.
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
			t.Fatalf("%s has a line that is not a name and a sum: %q", recordingSums, entry)
		}
		sums[string(words[0])] = string(words[1])
	}
	return sums
}

// writeSums stores sums by name.
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

// checkCoverage checks that each kind of event occurred at least the given number of times. Otherwise a change of the script
// could make it cover less without a test failing.
func (r *recording) checkCoverage(minOccurrences map[string]int) {
	r.t.Helper()
	for _, event := range slices.Sorted(maps.Keys(minOccurrences)) {
		if r.occurrences[event] < minOccurrences[event] {
			r.t.Errorf("event %q occurred %d times in the recording, want at least %d", event, r.occurrences[event], minOccurrences[event])
		}
	}
}

// recordingVariant is a seed with changes of the settings under which the script is played. Each variant has its own stored
// sum, under its name.
type recordingVariant struct {
	name           string
	seed           uint64
	settings       map[string]any // they replace those of testSettings
	minOccurrences map[string]int // required in addition to minRecordingOccurrences
}

// recordingVariants are the recordings that TestRecording makes.
var recordingVariants = []recordingVariant{
	{name: "plain", seed: 14, minOccurrences: map[string]int{"probe of health": 20}},
	{
		name: "shares-with-load-feedback", seed: 15, settings: map[string]any{
			"level_kind": "share", "Feedback.Source": "servers",
			"Feedback.Columns.n": 2.0, "Feedback.Columns.0": "cpu", "Feedback.Columns.1": "queue", "price.crossing": 0.1,
		},
		minOccurrences: map[string]int{"probe of load": 20, "push with an admission level below 1": 20},
	},
	{
		name: "rates-and-zone-bound-methods", seed: 13, settings: map[string]any{
			"level_kind": "rate", "method.0.own_zone": true, "pick": "random",
			"method.1.effect": "tokened", "method.1.group": "all", "method.1.window": 10.0, "message_lines": 3.0, "ask_within": 3.0,
		},
		minOccurrences: map[string]int{"push for some methods": 20},
	},
}

// The machine's outputs must be the recorded ones. See recordSums for how to store new ones.
func TestRecording(t *testing.T) {
	for _, variant := range recordingVariants {
		t.Run(variant.name, func(t *testing.T) {
			s := newScript(t, variant)
			s.play()
			s.recording.checkCoverage(minRecordingOccurrences)
			s.recording.checkCoverage(variant.minOccurrences)
			s.recording.checkSum(variant.name)
		})
	}
}

// minRecordingOccurrences has, for each kind of event, how often it must occur at least in every recording.
var minRecordingOccurrences = map[string]int{
	"proxy joins with fresh=0": 80, "proxy joins with fresh=1": 25, "proxy joins late": 15, "collector joins": 30,
	"stream replaced": 40, "connection rejected": 100, "unjoined connection evicted": 200, "peer closes a connection": 100,
	"machine closes a connection": 500, "machine closes an idle stream": 4, "idle connection closed": 10,
	"invalid message dropped": 20, "connection closed for malformed data": 15, "data in pieces": 1000,
	"usage report": 3000, "attempt report": 2000, "fault: heartbeat": 15, "message of kind hb_ok": 15,
	"nonce acknowledged": 800, "nonce not acknowledged": 400, "stale acknowledgement": 20,
	"message of kind assign": 1500, "message of kind reject": 100, "push with whole": 500, "push with changed entries": 700,
	"push with ticket": 1500, "push with out": 80, "push with back": 150, "push with level": 600, "push that forbids retries": 5,
	"dial to discovery": 50, "dial to a backend": 60, "dial that is refused": 8, "dial that fails for lack of local resources": 8,
	"discovery gets a request for the full list": 2, "discovery gets a request for changes at once": 30, "discovery gets a long poll": 40,
	"list in chunks": 8, "list without its length": 8, "list with its length": 25, "backend is active": 30, "backend is leaving": 10,
	"backend is left": 10, "probe outcome: OK": 8, "probe outcome: hang": 15, "probe outcome: reset": 10, "probe outcome: unavailable": 8,
	"probe outcome: cut off": 5, "probe outcome: malformed": 1, "probe outcome: OK with load": 1, "fault: configuration is reloaded": 15,
	"discovery responds: unavailable": 1, "discovery responds: unavailable and closed": 1, "discovery responds: hang": 1,
	"discovery responds: reset": 1, "discovery responds: cut off": 1, "discovery responds: cut chunk": 1,
	"discovery responds: malformed list": 1, "discovery responds: malformed HTTP": 1, "discovery responds: too long": 1,
	"discovery responds: old list": 1,
}
