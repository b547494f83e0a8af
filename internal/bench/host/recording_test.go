package host

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// A recording detects any change of the host's replies. It is the SHA-256 sum of all replies to a stream of batches, and is
// compared with a stored sum. The streams are generated from a seed, with all events that the codec can read; another
// recording is of malformed lines. After an intended change of behaviour, store the new sums with
//
//	go test ./internal/bench/host -run TestRecording -record
//
// To find where the replies of two versions begin to differ, have both write them to files with -transcripts, and compare
// those. The sums hold for amd64. On other processors the last bits of floating-point results may differ.
var (
	storeSums      = flag.Bool("record", false, "store the sums of the recordings as they are now")
	transcriptsDir = flag.String("transcripts", "", "an absolute directory to which the recordings are written as text")
)

const sumsFile = "testdata/recording.sum"

// recording collects the replies of a host.
type recording struct {
	t    *testing.T
	sum  hash.Hash
	text bytes.Buffer
	seen map[string]int // numbers of events and commands, by "event" or "order" and the name, for checkCoverage
}

func newRecording(t *testing.T) *recording {
	return &recording{t: t, sum: sha256.New(), seen: map[string]int{}}
}

// Write adds bytes to the recording. It implements io.Writer.
func (r *recording) Write(data []byte) (int, error) {
	r.text.Write(data)
	return r.sum.Write(data)
}

// finish compares the sum with the stored one, or stores it.
func (r *recording) finish(name string) {
	r.t.Helper()
	if *transcriptsDir != "" {
		if err := os.WriteFile(filepath.Join(*transcriptsDir, "host-"+name+".txt"), r.text.Bytes(), 0o644); err != nil {
			r.t.Fatal(err)
		}
	}
	got, stored := hex.EncodeToString(r.sum.Sum(nil)), readSums(r.t)
	if *storeSums && !r.t.Failed() {
		stored[name] = got
		writeSums(r.t, stored)
		return
	}
	if want := stored[name]; got != want {
		r.t.Errorf("recording %s: the replies have the sum\n%s %s\nbut %s has\n%s %s", name, name, got, sumsFile, name, want)
	}
}

// readSums reads the stored sums, each on a line with the name of its recording.
func readSums(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.ReadFile(sumsFile)
	if err != nil && (!*storeSums || !os.IsNotExist(err)) {
		t.Fatal(err)
	}
	sums := map[string]string{}
	for entry := range bytes.Lines(file) {
		words := bytes.Fields(entry)
		if len(words) != 2 {
			t.Fatalf("%s: line is not a name and a sum: %q", sumsFile, entry)
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
	if err := os.MkdirAll(filepath.Dir(sumsFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(sumsFile, file, 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkCoverage checks that each event and command was seen at least this often, so that a change of the generated events can't
// silently reduce what the recording covers.
func (r *recording) checkCoverage(minCounts map[string]int) {
	r.t.Helper()
	for _, what := range slices.Sorted(maps.Keys(minCounts)) {
		if r.seen[what] < minCounts[what] {
			r.t.Errorf("the recording has %d times %q, at least %d wanted", r.seen[what], what, minCounts[what])
		}
	}
}

var recordingVariants = []struct {
	name      string
	seed      uint64
	levelKind string
	slices    int // number of slices in the settings
	batches   int
	minCounts map[string]int // for checkCoverage, in addition to eventCoverage and orderCoverage
}{
	{name: "shares", seed: 21, levelKind: "ratio", batches: 1500, minCounts: map[string]int{"order GateClass below 1": 10}},
	{name: "rates", seed: 22, levelKind: "rps", batches: 1500, minCounts: map[string]int{"order GateClass": 50}},
	{name: "slices", seed: 23, levelKind: "ratio", slices: 8, batches: 800},
}

func TestRecording(t *testing.T) {
	for _, variant := range recordingVariants {
		t.Run(variant.name, func(t *testing.T) {
			s := newSimulator(t, variant.seed, variant.levelKind, variant.slices)
			for range variant.batches {
				s.step()
			}
			s.recording.checkCoverage(eventCoverage)
			if variant.slices == 0 {
				s.recording.checkCoverage(orderCoverage)
			}
			s.recording.checkCoverage(variant.minCounts)
			s.recording.finish(variant.name)
		})
	}
}

// eventCoverage has the smallest number of each event in a recording.
var eventCoverage = map[string]int{
	"event Enlist": 3, "event Detach": 1, "event Catalog": 15, "event Members": 15, "event Due": 20, "event ProbeResult": 15, "event Message": 15,
	"event Subscribed": 15, "event Disconnected": 15, "event TrafficReport": 50, "event Traffic": 50, "event RangeLoad": 15, "event Charge": 15,
	"event StoredLine": 15, "event Applied": 15,
}

// orderCoverage has the smallest number of each command in a recording without slices.
var orderCoverage = map[string]int{
	"order SetWeight": 100, "order Truncate": 1, "order HandTable": 30, "order Suspend": 5, "order GateClass": 20, "order Seal": 50,
	"order Follow": 5, "order Sample": 5, "order After": 50,
}

// malformedLines are lines at which the host stops with an error.
var malformedLines = []string{
	"nonsense\n", "\n", "{}", `{"TMs":1}` + "\n", `{"TMs":"x","happened":[]}`, `{"TMs":1,"happened":{}}`, `{"TMs":1,"happened":[{}]}`,
	batchLine(`{"Unheard":{}}`), batchLine(`{"Due":[]}`), batchLine(`{"Due":{},"Detach":{}}`), batchLine(`{"Due":{"Token":1}}`), batchLine(`{"Due":{"CoordinatorId":"x","Token":1}}`),
	batchLine(`{"Due":{"CoordinatorId":"coordinator/0","Token":"x"}}`), batchLine(`{"Due":{"CoordinatorId":"coordinator/7","Token":1}}`),
	batchLine(`{"Due":{"CoordinatorId":"coordinator/0"}}`), batchLine(`{"Due":{"CoordinatorId":"coordinator/0","Token":null}}`),
	batchLine(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":9}}`),
	batchLine(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":16}}`),
	batchLine(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"rumour","Epoch":1,"Table":0}}`),
	batchLine(`{"Catalog":{"Table":-1,"Hosts":[]}}`), batchLine(`{"Catalog":{"Table":1}}`), batchLine(`{"Catalog":{"Table":1,"Hosts":[{"Backend":1,"Readiness":"X"}]}}`),
	batchLine(`{"Catalog":{"Table":1,"Hosts":[{"Backend":-1,"Readiness":"U"}]}}`),
	batchLine(`{"Message":{"CoordinatorId":"coordinator/0","From":1,"Octets":"0"}}`),
	batchLine(`{"ProbeResult":{"CoordinatorId":"coordinator/0","Backend":1,"StateCode":"odd"}}`),
	batchLine(`{"Traffic":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"Sidecar":1}}`),
	batchLine(`{"RangeLoad":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"RouteTable":1}}`),
	batchLine(`{"Subscribed":{"CoordinatorId":"coordinator/0","Sidecar":1.5,"FailureDomain":"a","Heft":2}}`),
	batchLine(`{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":"x","Conf":{}}}`), batchLine(`{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":1}}`),
	batchLine(`{"Enlist":{"CoordinatorId":"other/0","Entropy":1,"Conf":{"Zones":["a"]}}}`),
}

// Each malformed line ends its stream, after the replies to the batches before it. The recording does not have the error
// messages.
func TestRecordingOfMalformedStreams(t *testing.T) {
	r := newRecording(t)
	for number, line := range malformedLines {
		stream := batchLine(startEvent, cachedListEvents) + batchLine(joinEvent) + line
		err := Run(strings.NewReader(stream), r)
		if err == nil {
			t.Errorf("stream %d ends without an error after %.80q", number, line)
		}
		fmt.Fprintf(r, "stream %d ended\n", number)
	}
	r.finish("malformed")
}

// ordersOf decodes the commands ("orders") of a reply. Each is an object with its fields under its name.
func ordersOf(t *testing.T, reply []byte) (orders []map[string]map[string]any) {
	t.Helper()
	var read struct{ Orders []map[string]map[string]any }
	if err := json.Unmarshal(reply, &read); err != nil {
		t.Fatalf("%v: %.200s", err, reply)
	}
	return read.Orders
}
