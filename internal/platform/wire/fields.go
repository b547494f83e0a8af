package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Upper limits of received numbers. They are far above any real value, and low enough for sums to stay exact.
const (
	maxIdentifier   = 1<<16 - 1 // proxy numbers and nonces
	maxCountOrRate  = 1e7       // counts of RPCs, attempts and failures, and rates in RPCs per second
	maxMilliseconds = 3.6e6     // an hour
)

const (
	maxNameBytes          = 128 // limit on the length of the names of zones, backends and methods
	millisecondsPerSecond = 1000
)

// field is one name=value pair of a message.
type field struct{ name, value string }

// fields holds the fields of one message. err is the first error found while they are read.
type fields struct {
	kind   string
	values []field
	err    error
}

// message converts the fields to the message of their kind. The result is valid only if err is nil afterwards.
func (f *fields) message() Message {
	switch f.kind {
	case kindHeartbeat:
		return Heartbeat{}
	case kindCollectorJoin:
		return CollectorJoin{Zone: f.zone()}
	case kindProxyJoin:
		return ProxyJoin{
			Proxy: f.integer("proxy", maxIdentifier),
			Zone:  f.zone(),
			Rate:  f.number("weight", maxCountOrRate),
			Fresh: f.flag("fresh"),
		}
	case kindAcknowledgement:
		return Acknowledgement{
			Proxy: f.integer("proxy", maxIdentifier),
			Nonce: f.integer("mark", maxIdentifier),
			Delay: f.seconds("took_ms"),
		}
	case kindAttemptReport:
		return f.attemptReport()
	case kindUsageReport:
		// An RPC that fails in the period may have begun before it, so there may be more failures than RPCs.
		return UsageReport{
			Proxy:    f.integer("proxy", maxIdentifier),
			Method:   f.requiredText("class"),
			RPCs:     f.integer("tries", maxCountOrRate),
			Failures: f.integer("failed", maxCountOrRate),
			Span:     f.span(),
		}
	}
	return nil
}

// attemptReport reads the fields of an AttemptReport.
func (f *fields) attemptReport() AttemptReport {
	report := AttemptReport{
		Zone:        f.zone(),
		Backend:     f.requiredText("server"),
		Attempts:    f.integer("tries", maxCountOrRate),
		Failures:    f.integer("failed", maxCountOrRate),
		MeanLatency: f.seconds("mean_ms"),
		Span:        f.span(),
		Load:        f.load(),
	}
	if report.Failures > report.Attempts {
		f.fail("failed is more than tries")
	}
	return report
}

// fail records an error, unless there is one already. The text may be sent to the peer.
func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = &MessageError{Kind: f.kind, Reason: fmt.Sprintf(format, args...)}
	}
}

// find returns the value of a field. A field that occurs more than once must have the same value each time.
func (f *fields) find(name string) (value string, found bool) {
	for _, candidate := range f.values {
		if candidate.name != name {
			continue
		}
		if found && candidate.value != value {
			f.fail("%s is there twice", name)
		}
		value, found = candidate.value, true
	}
	return value, found
}

// requiredText reads a field that must be there and not be empty.
func (f *fields) requiredText(name string) string {
	value, found := f.find(name)
	if !found || value == "" {
		f.fail("%s is missing", name)
	} else if len(value) > maxNameBytes {
		f.fail("%s is too long", name)
	}
	return value
}

// zone reads the zone. The name may be empty if there is only one zone.
func (f *fields) zone() string {
	value, found := f.find("zone")
	if !found {
		f.fail("zone is missing")
	} else if len(value) > maxNameBytes {
		f.fail("zone is too long")
	}
	return value
}

// number reads a number between 0 and a limit.
func (f *fields) number(name string, limit float64) float64 {
	value, err := strconv.ParseFloat(f.requiredText(name), 64)
	switch {
	case f.err != nil:
	case err != nil || math.IsNaN(value):
		f.fail("%s is not a number", name)
	case value < 0 || value > limit:
		f.fail("%s is out of range", name)
	}
	return value
}

// integer reads a whole number between 0 and a limit. It may be written in any notation that a number may have.
func (f *fields) integer(name string, limit float64) int {
	value := f.number(name, limit)
	if f.err == nil && value != math.Trunc(value) {
		f.fail("%s is not a whole number", name)
	}
	if f.err != nil {
		return 0
	}
	return int(value)
}

// seconds reads a duration in milliseconds and returns it in seconds.
func (f *fields) seconds(name string) float64 {
	return f.number(name, maxMilliseconds) / millisecondsPerSecond
}

// span reads the period that a report covers, in milliseconds, and returns it in seconds. It must not be zero.
func (f *fields) span() float64 {
	value := f.number("span_ms", maxMilliseconds)
	if f.err == nil && value <= 0 {
		f.fail("span_ms is out of range")
	}
	return value / millisecondsPerSecond
}

// flag reads a field that is 0 or 1.
func (f *fields) flag(name string) bool {
	value := f.requiredText(name)
	if f.err == nil && value != "0" && value != "1" {
		f.fail("%s is neither 0 nor 1", name)
	}
	return value == "1"
}

// load reads the optional load report of a backend, a list of name:value pairs. It returns nil if there is none.
func (f *fields) load() map[string]float64 {
	list, found := f.find("load")
	if !found || list == "" {
		return nil
	}
	load := map[string]float64{}
	for _, pair := range strings.Split(list, ",") {
		name, text, ok := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || name == "" || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			f.fail("load is not a list of figures")
			return nil
		}
		load[name] = value
	}
	return load
}
