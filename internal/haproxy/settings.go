package haproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

// Times in seconds that are written to a settings file: values for what the import does not have, and the lowest and highest
// values that are written for a setting.
const (
	minWarmAfter        = 10.0   // lowest value for the setting warm-after, the longest time from a backend's start until it is warm; also used if no server has a slowstart
	defaultDeadline     = 30.0   // value for the setting deadline, the time after which the client cancels an RPC, if the pool has no timeout server
	minDeadline         = 0.002  // lowest value for the setting deadline
	maxDeadline         = 3600.0 // highest value for the setting deadline
	longestSoftDeadline = 1.0    // highest value for the setting soft-deadline, the time within which an answer is wanted; otherwise half the deadline
)

// The range of ports in the settings files. Each pool takes the next two ports of the range; after the last one, the first ports
// are used again.
const (
	firstPort = 7400
	portCount = 50000
)

// notInImport is the comment in the settings on values that HAProxy's format does not have.
const notInImport = "not in the import"

// settingsFormat is the format of the settings file without its methods.
const settingsFormat = `# pool %q, from %q line %d
instance %s
    zone            imported      # not in the import
    listen          127.0.0.1:%d # not in the import
    list-service    127.0.0.1:%d # not in the import
    state           -

fleet
    zones           imported      # not in the import
    proxy-count     8             # not in the import
    warm-after      %s       # %s
    cold-share      30%%           # not in the import
    fall-multiple   3             # not in the import
    fall-window     1s            # not in the import
    drain-grace     2s            # not in the import
    bare-limit      3s            # not in the import

proxies
    pick            %s
    report-period   2s            # not in the import
    push-time       5ms           # not in the import
    push-time-worst 300ms         # not in the import

channel
    room            10000         # not in the import
    pace            10000         # not in the import
`

// Settings returns a pool's settings file, which `gingerfork check` accepts. Values that HAProxy's format does not have are marked
// as not in the import by a comment, and need a review before use.
//
// The methods are those that the routes define for the pool; without routes there is one method for all requests. A method whose
// routes match only HTTP methods that RFC 9110 calls safe is idempotent. For other methods this cannot be known from the
// configuration, so they are non-idempotent.
func (p Pool) Settings(routes []route.Route) string {
	warmAfter, warmAfterSource := p.warmAfter()
	port := firstPort + 2*p.index%portCount
	settings := fmt.Sprintf(settingsFormat, p.Name, p.File, p.Line, bootstrap.Quote(p.Name), port, port+1, milliseconds(warmAfter), warmAfterSource, p.Pick)
	return settings + p.methodSettings(routes)
}

// warmAfter returns the value for the setting warm-after, the longest time in seconds from a backend's start until it is warm, and a
// comment that tells where the value comes from.
func (p Pool) warmAfter() (seconds float64, source string) {
	seconds, source = minWarmAfter, notInImport+": how long your servers warm"
	for _, server := range p.Servers {
		if server.SlowStart > 0 {
			seconds, source = max(seconds, server.SlowStart), "the longest slowstart"
		}
	}
	return seconds, source
}

// deadline returns the deadline of the pool's methods in seconds, and a comment that tells where the value comes from.
func (p Pool) deadline() (seconds float64, source string) {
	if p.Deadline == 0 {
		return defaultDeadline, notInImport
	}
	return min(max(p.Deadline, minDeadline), maxDeadline), "timeout server"
}

// milliseconds formats a time in whole milliseconds, such as 250ms.
func milliseconds(seconds float64) string {
	return strconv.FormatFloat(math.Round(seconds*1000), 'f', -1, 64) + "ms"
}

// allMethod is the only method of a pool whose routes do not divide its requests into methods.
const allMethod = "all"

// methodFormat is the format of a method in the settings file.
const methodFormat = `
method %s
    effect          %s # %s
    tries           %s          # retries, retry-on
    criticality     1             # not in the import
    soft-deadline   %s       # not in the import: when an answer is wanted
    deadline        %s       # %s
`

// methodSettings returns the methods of the settings file.
func (p Pool) methodSettings(routes []route.Route) string {
	names, safe := route.Methods(routes, p.Name)
	if len(names) == 0 {
		names = []string{allMethod}
	}
	tries := "free"
	if p.Retries == 0 || p.neverRetries {
		tries = "once"
	}
	deadline, deadlineSource := p.deadline()
	softDeadline := milliseconds(min(longestSoftDeadline, deadline/2))
	var settings strings.Builder
	for _, name := range names {
		effect, effectSource := "non-idempotent", notInImport+": what a second run does"
		if safe[name] {
			effect, effectSource = "idempotent", "its routes take GET, HEAD, OPTIONS and TRACE alone"
		}
		fmt.Fprintf(&settings, methodFormat, bootstrap.Quote(name), effect, effectSource, tries, softDeadline, milliseconds(deadline), deadlineSource)
	}
	return settings.String()
}
