package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// receivedPushes is the state of a proxy that has applied pushes.
type receivedPushes struct {
	weights  map[string]float64
	excluded map[string]bool
	nonce    string // as text, from the only part that has one
	messages int    // number of messages
}

// receivePushes applies encoded pushes as a proxy does. It fails the test if a part is longer than maxBytes or a message has
// more than maxParts parts.
func receivePushes(test rapid.TB, data []byte, maxBytes, maxParts int) receivedPushes {
	test.Helper()
	received := receivedPushes{weights: map[string]float64{}, excluded: map[string]bool{}}
	partsInMessage := 0
	for _, part := range strings.SplitAfter(string(data), "\r\n") {
		if part == "" {
			continue
		}
		words := strings.Fields(part)
		if partsInMessage++; len(part) > maxBytes || partsInMessage > maxParts || words[0] != "assign" || !strings.HasSuffix(part, "\r\n") {
			test.Fatalf("part %d of a message is invalid or exceeds the limits; it has %d bytes: %.60q", partsInMessage, len(part), part)
		}
		values := map[string]string{}
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			values[name] = value
		}
		received.apply(test, values)
		if values["more"] != "1" {
			received.messages, partsInMessage = received.messages+1, 0
		}
	}
	if partsInMessage != 0 {
		test.Fatalf("the last part says that more parts follow")
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
			test.Fatalf("weight %q is not a plain non-negative number", text)
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
			test.Fatalf("the push has two nonces")
		}
		p.nonce = values["ticket"]
	}
}

// A part of any length is split into parts that are within the limits and together have the same content.
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
			check.Fatalf("got %d entries, want %d; %d exclusions, want %d; nonce %q, want 7", len(received.weights), len(part.Entries),
				len(received.excluded), len(part.Exclude), received.nonce)
		}
		for _, entry := range part.Entries {
			if math.Abs(received.weights[entry.Backend]-entry.Weight) > 1e-6*math.Max(1, entry.Weight) {
				check.Fatalf("the weight of %s is %v, want %v", entry.Backend, received.weights[entry.Backend], entry.Weight)
			}
		}
	})
}

// A push with more parts than a message may have makes several messages, the last of which has the nonce. A table that is too
// long for one part is split into parts of the same message.
func TestPartsPerMessage(t *testing.T) {
	const limit = MaxPartsPerMessage
	for partCount, want := range map[int]int{1: 1, limit: 1, limit + 1: 2, 2 * limit: 2, 2*limit + 1: 3} {
		parts := make([]Part, partCount)
		for i := range parts {
			parts[i] = Part{Methods: []string{fmt.Sprint("m", i)}, Admission: &Admission{Level: 0.5}}
		}
		nonce := 65535
		parts[partCount-1].Nonce = &nonce
		received := receivePushes(t, AppendPush(nil, parts), MaxMessageBytes, MaxPartsPerMessage)
		if received.messages != want || received.nonce != "65535" {
			t.Errorf("%d parts make %d messages, want %d; nonce %q, want 65535", partCount, received.messages, want, received.nonce)
		}
	}
	long := Part{Complete: true}
	for i := range 60000 {
		long.Entries = append(long.Entries, TableEntry{fmt.Sprintf("s-%08x", i), 1.0 / 3})
	}
	received := receivePushes(t, AppendPush(nil, []Part{long}), MaxMessageBytes, MaxPartsPerMessage)
	if len(received.weights) != 60000 || received.messages != 1 {
		t.Errorf("a push with 60000 entries has %d entries in %d messages, want 1 message", len(received.weights), received.messages)
	}
}

// Numbers are written without an exponent. Values out of range become the nearest limit, and NaN becomes 0.
func TestAppendNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 1.5: "1.5", 1e6: "1000000", 1e300: "1000000000", -1: "0", 1e-12: "0.000001", 100: "100", 0.1: "0.1",
	} {
		if got := string(appendNumber(nil, value)); got != want {
			t.Errorf("%v is written as %s, want %s", value, got, want)
		}
	}
	if got := string(appendNumber(nil, math.NaN())); got != "0" {
		t.Errorf("NaN is written as %s, want 0", got)
	}
}

// Characters that would end a field or a message are replaced in the reason of a rejection.
func TestAppendRejectReplacesCharacters(t *testing.T) {
	if got := string(AppendReject(nil, "what it is=x\r\ny")); got != "reject why=what_it_is_x__y\r\n" {
		t.Errorf("the rejection is %q, want spaces, = and the line end replaced by underscores", got)
	}
}
