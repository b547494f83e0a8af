package platform

import (
	"errors"
	"fmt"
	"testing"
)

// Older lists are rejected, and after one the full list is requested. Full lists that stay older are accepted in the end.
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
			t.Errorf("%d: %v, needs the full list: %v", i, err, registry.needsFullList())
		}
		if err != nil && !errors.Is(err, errOlderList) {
			t.Errorf("%d: the error is %v", i, err)
		}
	}
}

// Numbers of a list may have any JSON notation; what is not a whole number is an error.
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
			t.Errorf("a large version is read as %v", list)
		}
	}
}
