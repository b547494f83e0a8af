package endpointfile

import (
	"errors"
	"testing"
)

// The stored format stays compatible in both directions with the first version of this package, which wrote the wanted text.
func TestStoredFormat(t *testing.T) {
	list := New(testSettings)
	backends := makeBackends(4, 1)
	mustApply(t, list, 5, backends)
	backends[1].Addr = "o:1"
	backends[2].Draining = true
	mustApply(t, list, 6, backends)
	mustApply(t, list, 7, backends[:3])
	mustApply(t, list, 8, backends[:1])
	if _, err := list.Apply(9, []Backend{{ID: 9, Name: "n", Addr: "h:9", Weight: 2}}); err == nil {
		t.Fatal("a file without any of the open backends was accepted")
	}
	data, err := list.Encode()
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Format":1,"Version":4,"Entries":[` +
		`{"Number":1,"Name":"s0","Addr":"h:0","Weight":1,"Draining":false,"State":0,"Stamp":1,"Start":0,"Until":0},` +
		`{"Number":2,"Name":"s1","Addr":"o:1","Weight":1,"Draining":false,"State":1,"Stamp":2,"Start":6,"Until":18},` +
		`{"Number":3,"Name":"s2","Addr":"h:2","Weight":1,"Draining":true,"State":1,"Stamp":1,"Start":0,"Until":18},` +
		`{"Number":4,"Name":"s3","Addr":"h:3","Weight":1,"Draining":false,"State":1,"Stamp":1,"Start":0,"Until":17}],` +
		`"Held":"[{9 n h:9 2 false}]"}`
	if string(data) != want {
		t.Errorf("stored:\n%s\nwanted:\n%s", data, want)
	}
}

// Data that is no JSON, has another format, or has an invalid or repeated endpoint is rejected.
func TestDecodeRejectsInvalidData(t *testing.T) {
	for _, test := range []struct {
		data string
		want error // nil: any error of the JSON decoder
	}{
		{"", nil},
		{"{", nil},
		{`{"Format":2}`, ErrFormat},
		{`{"Format":1,"Entries":[{"Number":1,"Weight":0}]}`, ErrCorrupt},
		{`{"Format":1,"Entries":[{"Number":1,"Weight":1},{"Number":1,"Weight":1}]}`, ErrCorrupt},
	} {
		if _, err := Decode(testSettings, []byte(test.data)); err == nil || test.want != nil && !errors.Is(err, test.want) {
			t.Errorf("%q: error %v, wanted %v", test.data, err, test.want)
		}
	}
}
