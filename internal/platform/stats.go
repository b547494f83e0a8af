package platform

// Stats has counts since the start of the process, except for Streams.
type Stats struct {
	Joins, Leaves         int // proxies' streams that were joined, and joined streams that ended
	TakenOver             int // streams replaced by a later stream of the same proxy
	Messages, Bytes       int // pushes sent to proxies, and their total size in bytes
	Steps, Commands       int // steps of the decision module and the commands that it returned
	Rejected              int // connections that failed their handshake
	Evicted               int // connections closed because of the limit on connections
	InvalidMessages       int // messages dropped without closing their connections
	BrokenConnections     int // joined connections closed for malformed data
	StaleAcknowledgements int // acknowledgements with a nonce that was not in flight on the stream
	IdleClosed            int // connections of proxies and collectors that were closed as idle
	OutdatedProbes        int // dropped probe results, of a former process or address of a backend
	PlannerRestarts       int // replacements of a failed decision module
	InputPanics           int // inputs whose handling panicked
	Streams               int // streams that are joined at present
}

// Stats returns the current counts.
func (m *Machine) Stats() Stats {
	stats := m.stats
	for _, s := range m.streams {
		if s != nil {
			stats.Streams++
		}
	}
	return stats
}
