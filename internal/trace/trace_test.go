package trace

import (
	"strings"
	"testing"
)

func TestLinesComeBack(t *testing.T) {
	all := []Record{
		{T: 1.5, Kind: Join, Who: "f0", Of: "c0", Zone: "a"},
		{T: 2, Kind: Push, Who: "f0", Mark: 65535, N: 3, Text: `bind 0 3 1:1; "x"`},
		{T: 1e6, Kind: Run, EP: 1<<32 - 1, RPC: 1<<64 - 1, Method: 2},
		{T: 3, Kind: Offer, X: 0.25, EP: 4, N: -1},
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
