package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// readMethod is the text of the only method in the file that configuration returns.
const readMethod = `{"Name":"read","AimMs":1000.0,"DeadlineMs":2500.0,"Effect":"idempotent","Worth":1.0}`

// manyMethods returns the text of 63 methods, the most that the settings may have.
func manyMethods() string {
	methods := readMethod
	for i := range 62 {
		methods += fmt.Sprintf(`,{"Name":"m%d","AimMs":%d,"DeadlineMs":9000,"Effect":"at_most_once","Worth":0}`, i, 500+i)
	}
	return methods
}

// settingsCases are variants of the configuration that the platform's documentation allows.
var settingsCases = []struct {
	name    string
	changes []string // replacements in the text of configuration: old and new text alternate
	zone    string   // zone of the proxy that attaches
	want    string   // must occur in what the proxy receives
}{
	{"endpoint list is pushed elsewhere", []string{`"Discovery":"on_request"`, `"Discovery":"pushed"`}, "a", "s-1:1"},
	{"no limit between two polls", []string{`"AskWithinMs":10000.0`, `"AskWithinMs":0`}, "a", "s-1:1"},
	{"long time between two polls", []string{`"AskWithinMs":10000.0`, `"AskWithinMs":600000`}, "a", "s-1:1"},
	{"zone without a name", []string{`"Zones":["a"]`, `"Zones":[""]`}, "", "s-1:1"},
	{"five zones", []string{`"Zones":["a"]`, `"Zones":["b","c","d","a","e"]`}, "e", "s-1:1"},
	{"many methods", []string{readMethod, manyMethods()}, "a", "s-1:1"},
	{"no limits", []string{`"limits":{"cores":1.0,"memory_mb":64,"sockets":256},`, ``}, "a", "s-1:1"},
	{"limits with fractions", []string{`"cores":1.0,"memory_mb":64,"sockets":256`, `"cores":0.15,"memory_mb":32.5,"sockets":256`}, "a", "s-1:1"},
	{"no seed", []string{`"seed":"8c1f30d27a5be964",`, ``}, "a", "s-1:1"},
	{"seed without quotes", []string{`"seed":"8c1f30d27a5be964"`, `"seed":8130`}, "a", "s-1:1"},
	{"integers with a decimal point", []string{`"sockets":256`, `"sockets":256.0`, `"GroupSize":1`, `"GroupSize":1.0`}, "a", "s-1:1"},
	{"short seed", []string{`"seed":"8c1f30d27a5be964"`, `"seed":"0"`}, "a", "s-1:1"},
	{"unknown fields", []string{`"seed":`, `"later":{"x":[1,{"y":null}]},"seed":`, `"GroupSize":1`, `"GroupSize":1,"More":[[],{}]`}, "a", "s-1:1"},
	{"thousands of proxies", []string{`"ProxyCount":4`, `"ProxyCount":9000`}, "a", "s-1:1"},
	{"no limit on messages and no strikes", []string{`"Strikes":5,`, ``, `"PerMessage":10.0,`, ``}, "a", "s-1:1"},
	{"admission levels as ratios", []string{`"LevelKind":"none"`, `"LevelKind":"ratio"`}, "a", "level=1"},
	{"no round time", []string{`"RoundMs":4.0`, `"RoundMs":0`}, "a", "s-1:1"},
	{"malformed cached endpoint list", []string{`"seed":`, `"known":{"hosts":7},"seed":`}, "a", "s-1:1"},
	{"empty cached endpoint list", []string{`"seed":`, `"known":{"seq":3,"whole":true,"hosts":[]},"seed":`}, "a", "s-1:1"},
	{"no warm-up", []string{`"WarmAfterMs":10000.0,"ColdShare":0.3`, `"WarmAfterMs":0,"ColdShare":1`}, "a", "s-1:1"},
}

// The settings of other customers of the platform differ from ours. With any settings that the platform's documentation
// allows, the program starts, polls discovery and pushes tables to proxies.
func TestNodeAcceptsOtherCustomersSettings(t *testing.T) {
	for _, c := range settingsCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			discovery, calls := fakeDiscovery(t)
			listen := freeAddr(t)
			program := startProgram(t, mustReplace(t, configuration(listen, discovery), c.changes), os.Stderr)
			attach(t, listen, fmt.Sprintf("hb\r\nattach proxy=2 zone=%s weight=5 fresh=1\r\n", c.zone), c.want)
			mustPoll(t, calls)
			terminate(t, program)
		})
	}
}

// mustReplace replaces the first occurrence of each old text in changes by the new text after it, and fails the test if a
// text does not occur.
func mustReplace(t *testing.T, text string, changes []string) string {
	t.Helper()
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("the configuration does not contain %s", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return text
}

// mustPoll waits for a long poll of discovery, and fails the test unless its timeout is within the 100 to 60000 ms that the
// platform's documentation allows.
func mustPoll(t *testing.T, calls <-chan string) {
	t.Helper()
	for limit := time.After(time.Minute); ; {
		select {
		case call := <-calls:
			var since, timeout int
			if _, err := fmt.Sscanf(call, "/api/targets?since=%d&timeout_ms=%d", &since, &timeout); err != nil || timeout == 0 {
				continue
			}
			if timeout < 100 || timeout > 60000 {
				t.Errorf("the timeout of the poll %s is not within 100 to 60000 ms", call)
			}
			return
		case <-limit:
			t.Fatal("the program does not poll discovery within a minute")
		}
	}
}
