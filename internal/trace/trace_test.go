package trace

import (
	"errors"
	"strings"
	"testing"
)

func TestRecordsRoundTrip(t *testing.T) {
	records := []Record{
		{Time: 1.5, Kind: ProxyJoined, Party: "f0", Coordinator: "c0", Zone: "a"},
		{Time: 2, Kind: PushSent, Party: "f0", Nonce: 65535, Count: 3, Text: `bind 0 3 1:1; "x"`},
		{Time: 1e6, Kind: EffectExecuted, Backend: 1<<32 - 1, RPCID: 1<<64 - 1, Method: 2},
		{Time: 3, Kind: LoadOffered, Value: 0.25, Backend: 4, Count: -1},
	}
	var lines []byte
	for _, record := range records {
		lines = record.Append(lines)
	}
	got, err := Read(strings.NewReader(string(lines)))
	if err != nil || len(got) != len(records) {
		t.Fatalf("read %d records and error %v, want %d records", len(got), err, len(records))
	}
	for i := range records {
		if got[i] != records[i] {
			t.Errorf("%+v was read back as %+v", records[i], got[i])
		}
	}
}

func TestMalformedLines(t *testing.T) {
	for line, want := range map[string]string{"x join": "time", "1 join wo=3": `unknown field "wo"`, "1 join ep=x": "field ep", `1 join text="x`: "field text"} {
		_, err := Read(strings.NewReader("1.0 leave who=f0\n" + line + "\n"))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: got %v, want %s", line, err, want)
		}
	}
}

func TestUnknownField(t *testing.T) {
	if _, err := Parse("1 join wo=3"); !errors.Is(err, ErrUnknownField) {
		t.Errorf("got error %v, want %v", err, ErrUnknownField)
	}
}

// TestLineFormat guards the keys and the order of fields, which stored traces depend on.
func TestLineFormat(t *testing.T) {
	record := Record{
		Time: 1.5, Kind: AttemptSent, Party: "f0", Coordinator: "c0", Zone: "a", Backend: 3, RPCID: 4, Method: 5, Nonce: 6, Count: 7,
		Value: .25, Text: `a "b"`,
	}
	const want = `1.500000 try who=f0 of=c0 zone=a ep=3 rpc=4 method=5 mark=6 n=7 x=0.25 text="a \"b\""` + "\n"
	if got := string(record.Append(nil)); got != want {
		t.Errorf("got  %swant %s", got, want)
	}
}
