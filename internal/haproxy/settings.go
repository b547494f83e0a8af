package haproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

// What the settings have where the import says nothing, and the bounds of what they accept, all in seconds.
const (
	minWarmAfter        = 10.0
	defaultDeadline     = 30.0
	minDeadline         = 0.002
	maxDeadline         = 3600.0
	longestSoftDeadline = 1.0
)

// The ports of the settings: each pool takes two, counted up from the first.
const (
	firstPort = 7400
	portCount = 50000
)

const notInImport = "not in the import"

// settingsFormat is the settings file without its methods.
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

// Settings writes a pool's settings, which `gingerfork check` accepts. A figure that HAProxy's format does not have is
// commented as not in the import; it needs a look before service.
//
// The methods are those that the routes make of the pool's requests; without routes all requests are one method. A method
// whose routes accept only what RFC 9110 calls safe is idempotent; of others that cannot be known.
func (p Pool) Settings(routes []route.Route) string {
	warmAfter, warmAfterSource := p.warmAfter()
	port := firstPort + 2*p.index%portCount
	settings := fmt.Sprintf(settingsFormat, p.Name, p.File, p.Line, bootstrap.Quote(p.Name), port, port+1, milliseconds(warmAfter), warmAfterSource, p.Pick)
	return settings + p.methodSettings(routes)
}

// warmAfter returns the fleet's warm-up time in seconds and where it comes from.
func (p Pool) warmAfter() (seconds float64, source string) {
	seconds, source = minWarmAfter, notInImport+": how long your servers warm"
	for _, server := range p.Servers {
		if server.SlowStart > 0 {
			seconds, source = max(seconds, server.SlowStart), "the longest slowstart"
		}
	}
	return seconds, source
}

// deadline returns the deadline of the pool's methods in seconds and where it comes from.
func (p Pool) deadline() (seconds float64, source string) {
	if p.Deadline == 0 {
		return defaultDeadline, notInImport
	}
	return min(max(p.Deadline, minDeadline), maxDeadline), "timeout server"
}

func milliseconds(seconds float64) string {
	return strconv.FormatFloat(math.Round(seconds*1000), 'f', -1, 64) + "ms"
}

// allMethod is the only method of a pool whose requests the routes do not distinguish.
const allMethod = "all"

const methodFormat = `
method %s
    effect          %s # %s
    tries           %s          # retries, retry-on
    criticality     1             # not in the import
    soft-deadline   %s       # not in the import: when an answer is wanted
    deadline        %s       # %s
`

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
