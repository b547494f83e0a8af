package haproxy

import "strings"

// importBalance sets the pool's pick policy to the one closest to the balancing algorithm.
func (m *importer) importBalance(line proxyLine) {
	pick, class, reason := pickLottery, Differs, ""
	switch algorithm, _, _ := strings.Cut(line.argument(), "("); algorithm {
	case "roundrobin", "static-rr":
		pick, reason = pickEven, "each proxy goes round the servers of its own arc, in proportion to their weights"
	case "leastconn":
		pick, reason = pickPair, "the less busy of two that are drawn by weight"
	case "random":
		pick, reason = pickPair, "of two, in proportion to weights, within the proxy's arc"
	case "first", "source", "uri", "url_param", "hdr", "hash", "rdp-cookie":
		reason = "servers are drawn by weight: nothing is bound to a server by " + algorithm
	default:
		m.fault(line.Position, ErrValue, "balance %s is no algorithm", line.argument())
		class, reason = Dropped, "no such algorithm"
	}
	if line.pool != nil {
		line.pool.Pick = pick
	}
	m.note(line.Line, class, "%s", reason)
}

// importHashType reports a hash-type line, which has no effect: proxies do not hash keys to servers.
func (m *importer) importHashType(line proxyLine) {
	m.note(line.Line, Differs, "our arcs are a ring of hashed servers for each proxy; keys are not hashed to servers")
}
