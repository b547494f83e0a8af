package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// receivedPushes is the state of a proxy after it has applied pushes.
type receivedPushes struct {
	weights  map[string]float64
	excluded map[string]bool
	nonce    string // of the only part that has one
	messages int
}

// receivePushes decodes pushes as a proxy does and checks the limits on each part and message.
func receivePushes(test rapid.TB, data []byte, maxBytes, maxParts int) receivedPushes {
	test.Helper()
	received := receivedPushes{weights: map[string]float64{}, excluded: map[string]bool{}}
	parts := 0
	for _, part := range strings.SplitAfter(string(data), "\r\n") {
		if part == "" {
			continue
		}
		words := strings.Fields(part)
		if parts++; len(part) > maxBytes || parts > maxParts || words[0] != "assign" || !strings.HasSuffix(part, "\r\n") {
			test.Fatalf("part %d is %d bytes: %.60q", parts, len(part), part)
		}
		values := map[string]string{}
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			values[name] = value
		}
		received.apply(test, values)
		if values["more"] != "1" {
			received.messages, parts = received.messages+1, 0
		}
	}
	if parts != 0 {
		test.Fatalf("the last part says that more follows")
	}
	return received
}

// apply applies the fields of one part.
func (p *receivedPushes) apply(test rapid.TB, values map[string]string) {
	test.Helper()
	if values["whole"] == "1" {
		clear(p.weights)
	}
	for _, entry := range strings.Split(values["lines"], ",") {
		backend, text, ok := strings.Cut(entry, ":")
		if !ok {
			continue
		}
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || strings.ContainsAny(text, "eE+-") {
			test.Fatalf("a weight %q", text)
		}
		p.weights[backend] = weight
	}
	for _, backend := range strings.Split(values["out"], ",") {
		p.excluded[backend] = true
	}
	for _, backend := range strings.Split(values["back"], ",") {
		delete(p.excluded, backend)
	}
	delete(p.excluded, "")
	if values["ticket"] != "" {
		if p.nonce != "" {
			test.Fatalf("two nonces")
		}
		p.nonce = values["ticket"]
	}
}

// Whatever the length of a part, the parts into which it is split are within the limits and have the same content.
func TestLongPartIsSplit(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		nonce := 7
		part := Part{Methods: []string{"a", "b"}, Complete: true, Nonce: &nonce}
		for i := range rapid.IntRange(0, 60).Draw(check, "entries") {
			part.Entries = append(part.Entries, TableEntry{fmt.Sprint("s-", i), rapid.Float64Range(0, 1e6).Draw(check, "weight")})
		}
		for i := range rapid.IntRange(0, 30).Draw(check, "excluded") {
			part.Exclude = append(part.Exclude, fmt.Sprint("o-", i))
		}
		maxBytes, maxParts := rapid.IntRange(maxFixedPartBytes+10, maxFixedPartBytes+400).Draw(check, "maxBytes"), rapid.IntRange(1, 8).Draw(check, "maxParts")
		received := receivePushes(check, appendPushWithLimits(nil, []Part{part}, maxBytes, maxParts), maxBytes, maxParts)
		if len(received.weights) != len(part.Entries) || len(received.excluded) != len(part.Exclude) || received.nonce != "7" {
			check.Fatalf("%d entries of %d, %d exclusions of %d, nonce %q", len(received.weights), len(part.Entries),
				len(received.excluded), len(part.Exclude), received.nonce)
		}
		for _, entry := range part.Entries {
			if math.Abs(received.weights[entry.Backend]-entry.Weight) > 1e-6*math.Max(1, entry.Weight) {
				check.Fatalf("%s is %v, want %v", entry.Backend, received.weights[entry.Backend], entry.Weight)
			}
		}
	})
}

func TestPartsPerMessage(t *testing.T) {
	const limit = MaxPartsPerMessage
	for n, want := range map[int]int{1: 1, limit: 1, limit + 1: 2, 2 * limit: 2, 2*limit + 1: 3} {
		parts := make([]Part, n)
		for i := range parts {
			parts[i] = Part{Methods: []string{fmt.Sprint("m", i)}, Admission: &Admission{Level: 0.5}}
		}
		nonce := 65535
		parts[n-1].Nonce = &nonce
		received := receivePushes(t, AppendPush(nil, parts), MaxMessageBytes, MaxPartsPerMessage)
		if received.messages != want || received.nonce != "65535" {
			t.Errorf("%d parts make %d messages, want %d; nonce %q", n, received.messages, want, received.nonce)
		}
	}
	long := Part{Complete: true}
	for i := range 60000 {
		long.Entries = append(long.Entries, TableEntry{fmt.Sprintf("s-%08x", i), 1.0 / 3})
	}
	received := receivePushes(t, AppendPush(nil, []Part{long}), MaxMessageBytes, MaxPartsPerMessage)
	if len(received.weights) != 60000 || received.messages != 1 {
		t.Errorf("%d entries in %d messages", len(received.weights), received.messages)
	}
}

func TestAppendNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 1.5: "1.5", 1e6: "1000000", 1e300: "1000000000", -1: "0", 1e-12: "0.000001", 100: "100", 0.1: "0.1",
	} {
		if got := string(appendNumber(nil, value)); got != want {
			t.Errorf("%v is written as %s, want %s", value, got, want)
		}
	}
	if got := string(appendNumber(nil, math.NaN())); got != "0" {
		t.Errorf("NaN is written as %s", got)
	}
}

func TestAppendRejectReplacesCharacters(t *testing.T) {
	if got := string(AppendReject(nil, "what it is=x\r\ny")); got != "reject why=what_it_is_x__y\r\n" {
		t.Error(got)
	}
}
