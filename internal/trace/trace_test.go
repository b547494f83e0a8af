package trace

import (
	"strings"
	"testing"
)

func TestLinesComeBack(t *testing.T) {
	all := []Record{
		{Time: 1.5, Kind: ProxyJoined, Party: "f0", Coordinator: "c0", Zone: "a"},
		{Time: 2, Kind: PushSent, Party: "f0", Nonce: 65535, Count: 3, Text: `bind 0 3 1:1; "x"`},
		{Time: 1e6, Kind: EffectExecuted, Backend: 1<<32 - 1, RPCID: 1<<64 - 1, Method: 2},
		{Time: 3, Kind: LoadOffered, Value: 0.25, Backend: 4, Count: -1},
	}
	var b []byte
	for _, r := range all {
		b = r.Append(b)
	}
	got, err := Read(strings.NewReader(string(b)))
	if err != nil || len(got) != len(all) {
		t.Fatal(got, err)
	}
	for i := range all {
		if got[i] != all[i] {
			t.Errorf("%+v came back as %+v", all[i], got[i])
		}
	}
}

func TestBadLinesAreNamed(t *testing.T) {
	for line, want := range map[string]string{"x join": "time", "1 join wo=3": `unknown field "wo"`, "1 join ep=x": "field ep", `1 join text="x`: "field text"} {
		_, err := Read(strings.NewReader("1.0 leave who=f0\n" + line + "\n"))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: got %v, want %s", line, err, want)
		}
	}
}
