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

// A recording pins the replies of the host byte for byte: a stream of batches that is drawn from a seed has every message
// that the codec can read, sound and malformed, and the SHA-256 sum of all that is written back is compared with the stored
// one. After an intended change of behaviour the sums are stored anew with
//
//	go test ./internal/bench/host -run TestRecording -record
//
// To see where two versions part, have both write their recordings as text with -transcripts and compare the files.
// The sums hold for amd64: on other processors the last bits of floating-point results may differ.
var (
	recordSums     = flag.Bool("record", false, "store the sums of the recordings as they are now")
	transcriptsDir = flag.String("transcripts", "", "an absolute directory to which the recordings are written as text")
)

const recordingSums = "testdata/recording.sum"

// recording collects what the host writes.
type recording struct {
	t    *testing.T
	sum  hash.Hash
	text bytes.Buffer
	seen map[string]int // commands and events, for the checks of coverage
}

func newRecording(t *testing.T) *recording {
	return &recording{t: t, sum: sha256.New(), seen: map[string]int{}}
}

// Write adds bytes to the recording; it implements io.Writer.
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
	if *recordSums && !r.t.Failed() {
		stored[name] = got
		writeSums(r.t, stored)
		return
	}
	if want := stored[name]; got != want {
		r.t.Errorf("recording %s: the replies have the sum\n%s %s\nand %s has\n%s %s", name, name, got, recordingSums, name, want)
	}
}

// readSums reads lines of a name and a sum.
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
			t.Fatalf("%s: a line that is not a name and a sum: %q", recordingSums, entry)
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

// covers checks that so many of each thing were seen, so that a stream can't become empty unnoticed.
func (r *recording) covers(least map[string]int) {
	r.t.Helper()
	for _, what := range slices.Sorted(maps.Keys(least)) {
		if r.seen[what] < least[what] {
			r.t.Errorf("the recording has %d of %q, it should have at least %d", r.seen[what], what, least[what])
		}
	}
}

var recordingVariants = []struct {
	name      string
	seed      uint64
	levelKind string
	slices    int // ranges of keys
	batches   int
	least     map[string]int
}{
	{name: "shares", seed: 21, levelKind: "ratio", batches: 1500, least: map[string]int{"order GateClass below 1": 10}},
	{name: "rates", seed: 22, levelKind: "rps", batches: 1500, least: map[string]int{"order GateClass": 50}},
	{name: "slices", seed: 23, levelKind: "ratio", slices: 8, batches: 800},
}

func TestRecording(t *testing.T) {
	for _, variant := range recordingVariants {
		t.Run(variant.name, func(t *testing.T) {
			s := newScript(t, variant.seed, variant.levelKind, variant.slices)
			for range variant.batches {
				s.step()
			}
			s.recording.covers(eventCoverage)
			if variant.slices == 0 {
				s.recording.covers(orderCoverage)
			}
			s.recording.covers(variant.least)
			s.recording.finish(variant.name)
		})
	}
}

var eventCoverage = map[string]int{
	"event Enlist": 3, "event Detach": 1, "event Catalog": 15, "event Members": 15, "event Due": 20, "event ProbeResult": 15, "event Message": 15,
	"event Subscribed": 15, "event Disconnected": 15, "event TrafficReport": 50, "event Traffic": 50, "event RangeLoad": 15, "event Charge": 15,
	"event StoredLine": 15, "event Applied": 15,
}

var orderCoverage = map[string]int{
	"order SetWeight": 100, "order Truncate": 1, "order HandTable": 30, "order Suspend": 5, "order GateClass": 20, "order Seal": 50,
	"order Follow": 5, "order Sample": 5, "order After": 50,
}

// malformed are lines that end a stream.
var malformed = []string{
	"nonsense\n", "\n", "{}", `{"TMs":1}` + "\n", `{"TMs":"x","happened":[]}`, `{"TMs":1,"happened":{}}`, `{"TMs":1,"happened":[{}]}`,
	batch(`{"Unheard":{}}`), batch(`{"Due":[]}`), batch(`{"Due":{},"Detach":{}}`), batch(`{"Due":{"Token":1}}`), batch(`{"Due":{"CoordinatorId":"x","Token":1}}`),
	batch(`{"Due":{"CoordinatorId":"coordinator/0","Token":"x"}}`), batch(`{"Due":{"CoordinatorId":"coordinator/7","Token":1}}`),
	batch(`{"Due":{"CoordinatorId":"coordinator/0"}}`), batch(`{"Due":{"CoordinatorId":"coordinator/0","Token":null}}`),
	batch(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":9}}`),
	batch(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":16}}`),
	batch(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"rumour","Epoch":1,"Table":0}}`),
	batch(`{"Catalog":{"Table":-1,"Hosts":[]}}`), batch(`{"Catalog":{"Table":1}}`), batch(`{"Catalog":{"Table":1,"Hosts":[{"Backend":1,"Readiness":"X"}]}}`),
	batch(`{"Catalog":{"Table":1,"Hosts":[{"Backend":-1,"Readiness":"U"}]}}`),
	batch(`{"Message":{"CoordinatorId":"coordinator/0","From":1,"Octets":"0"}}`),
	batch(`{"ProbeResult":{"CoordinatorId":"coordinator/0","Backend":1,"StateCode":"odd"}}`),
	batch(`{"Traffic":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"Sidecar":1}}`),
	batch(`{"RangeLoad":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"RouteTable":1}}`),
	batch(`{"Subscribed":{"CoordinatorId":"coordinator/0","Sidecar":1.5,"FailureDomain":"a","Heft":2}}`),
	batch(`{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":"x","Conf":{}}}`), batch(`{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":1}}`),
	batch(`{"Enlist":{"CoordinatorId":"other/0","Entropy":1,"Conf":{"Zones":["a"]}}}`),
}

// Each malformed line ends its stream; what was answered before it stands. The errors' texts are no part of the recording.
func TestRecordingOfMalformedStreams(t *testing.T) {
	r := newRecording(t)
	for number, line := range malformed {
		stream := batch(enlist, disk) + batch(join) + line
		err := Run(strings.NewReader(stream), r)
		if err == nil {
			t.Errorf("stream %d ends without an error: %.80s", number, line)
		}
		fmt.Fprintf(r, "stream %d ended\n", number)
	}
	r.finish("malformed")
}

// ordersOf reads a reply: each order is a name and its fields.
func ordersOf(t *testing.T, reply []byte) (orders []map[string]map[string]any) {
	t.Helper()
	var read struct{ Orders []map[string]map[string]any }
	if err := json.Unmarshal(reply, &read); err != nil {
		t.Fatalf("%v: %.200s", err, reply)
	}
	return read.Orders
}
