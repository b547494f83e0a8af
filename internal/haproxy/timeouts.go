package haproxy

// importTimeout sets the deadline of the pool's methods to timeout server. Other timeouts are only checked.
func (m *importer) importTimeout(line proxyLine) {
	timeout := line.argument()
	seconds, err := parseDuration(line.Word(2))
	if err != nil {
		m.fault(line.Position, ErrValue, "timeout %s: %w", timeout, err)
		m.note(line.Line, Dropped, "no time")
		return
	}
	if timeout != "server" {
		m.note(line.Line, Dropped, "timeout %s is our proxies' own", timeout)
		return
	}
	if line.pool != nil {
		line.pool.Deadline = seconds
	}
	m.note(line.Line, Differs, "a deadline, after which the client gives up; never a soft deadline")
}
