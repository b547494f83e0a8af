package platform

import (
	"errors"
	"fmt"
	"testing"
)

// A list that is older than the loaded one is rejected, and the full list is requested next. If discovery keeps sending older
// lists, it has started over: from the third older list in a row on, a full list is accepted.
func TestOlderListIsRejected(t *testing.T) {
	registry := newEndpointRegistry()
	for i, test := range []struct {
		version  wholeNumber
		whole    bool
		accepted bool
	}{{40, true, true}, {39, false, false}, {41, false, true}, {30, true, false}, {31, true, false}, {32, false, false}, {33, true, true}, {34, false, true}} {
		hosts := []hostDocument{}
		_, err := registry.update(1, &listDocument{Seq: &test.version, Whole: test.whole, Hosts: &hosts})
		if (err == nil) != test.accepted || registry.needsFullList() == test.accepted {
			t.Errorf("list %d: error %v, needsFullList is %v", i, err, registry.needsFullList())
		}
		if err != nil && !errors.Is(err, errOlderList) {
			t.Errorf("list %d: the error is %v, want errOlderList", i, err)
		}
	}
}

// Whole numbers in a list may have any JSON notation, and a value that is not a whole number is an error.
func TestListNumberNotations(t *testing.T) {
	const text = `{"seq":%s,"whole":true,"hosts":[{"host":"s-9","dial":"x:1","site":"","class":null,"block":%s,"health":"active","share":1,"born_ms":0}]}`
	for _, test := range []struct {
		version, block string
		valid          bool
	}{
		{"41", "3", true},
		{"41.0", "3.0", true},
		{"9007199254740993", "null", true},
		{"4.1e1", "0", true},
		{"41.5", "3", false},
		{"41", `"3"`, false},
		{"1e300", "3", false},
	} {
		list, err := parseEndpointList(fmt.Appendf(nil, text, test.version, test.block))
		if (err == nil) != test.valid {
			t.Errorf("seq %s, block %s: %v", test.version, test.block, err)
		}
		if test.version == "9007199254740993" && (err != nil || *list.Seq != 9007199254740993) {
			t.Errorf("the list with version 9007199254740993 is decoded as %v, %v", list, err)
		}
	}
}
