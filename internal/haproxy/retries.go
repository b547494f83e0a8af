package haproxy

import "slices"

// maxRetries is the highest number of retries that an HAProxy configuration may set.
const maxRetries = 1000

// importRetries imports the number of retries. If it is above 0, proxies make at most one retry, and only after proof that the RPC
// did not run.
func (m *importer) importRetries(line proxyLine) {
	retries, err := parseInteger(line.argument(), 0, maxRetries)
	if err != nil {
		m.fault(line.Position, ErrValue, "retries: %w", err)
	} else if line.pool != nil {
		line.pool.Retries = retries
	}
	switch {
	case err == nil && retries == 0:
		m.note(line.Line, Carried, "tries once")
	case retries == 1:
		m.note(line.Line, Differs, "one more, after proof that an RPC never ran, at another server; none in a jam, where tries feed it")
	default:
		m.note(line.Line, Differs, "one more at most, after proof that an RPC never ran, at another server; none in a jam, where tries feed it")
	}
}

// importRetryOn imports the causes of retries. HAProxy's default without the line is conn-failure. An RPC that may have run is not
// retried whatever causes the line names, because no HAProxy configuration tells whether the RPC is idempotent.
func (m *importer) importRetryOn(line proxyLine) {
	if len(line.Tokens) < 2 {
		m.fault(line.Position, ErrSyntax, "retry-on without a cause")
	}
	m.note(line.part(0, 1), Carried, "")
	neverRetries := true
	for i := 1; i < len(line.Tokens); i++ {
		if m.importRetryCause(line, i) {
			neverRetries = false
		}
	}
	if line.pool != nil {
		line.pool.neverRetries = neverRetries
	}
}

// unsafeRetryCauses are the causes on retry-on lines after which an RPC may have run, so that no RPC is retried after them.
var unsafeRetryCauses = []string{
	"empty-response", "junk-response", "response-timeout", "0rtt-rejected", "401", "403", "404", "408", "421", "425", "500", "501", "502", "504",
}

// importRetryCause imports the cause with the given index on a retry-on line and reports whether RPCs are retried after it.
func (m *importer) importRetryCause(line proxyLine, index int) (retries bool) {
	class, reason := Dropped, "after this an RPC may have run: none is run twice unless its method is marked tokened"
	switch cause := line.Word(index); {
	case cause == "none" && len(line.Tokens) == 2:
		class, reason = Carried, "tries once"
	case cause == "none":
		m.fault(line.Position, ErrSyntax, "retry-on none beside other causes")
	case cause == "conn-failure":
		class, reason, retries = Carried, "proof that it never ran", true
	case cause == "all-retryable-errors":
		class, reason, retries = Differs, "after conn-failure only; after the others an RPC may have run", true
	case cause == "503" || cause == "429":
		class, reason, retries = Differs, "a push back is proof that an RPC never ran", true
	case slices.Contains(unsafeRetryCauses, cause):
	default:
		m.fault(line.Position, ErrValue, "retry-on %s is no cause", cause)
		reason = "no such cause"
	}
	m.note(line.part(index, index+1), class, "%s", reason)
	return retries
}
