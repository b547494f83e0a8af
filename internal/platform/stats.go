package platform

// Stats are counts since the start of the process.
type Stats struct {
	Joins, Leaves         int // of streams
	TakenOver             int // streams replaced by a later one of the same proxy
	Messages, Bytes       int // sent to proxies
	Steps, Commands       int // of the decision module
	Rejected              int // connections that failed their handshake
	Evicted               int // connections closed for the limit on connections
	InvalidMessages       int // dropped alone
	BrokenConnections     int // closed for malformed data
	StaleAcknowledgements int // whose nonce is not in flight
	IdleClosed            int // streams and collectors that were silent for too long
	OutdatedProbes        int // probe results of a former process or address of a backend
	PlannerRestarts       int // replacements of a failed decision module
	InputPanics           int // inputs whose handling panicked
	Streams               int // joined now
}

// Stats returns the counts.
func (m *Machine) Stats() Stats {
	stats := m.stats
	for _, s := range m.streams {
		if s != nil {
			stats.Streams++
		}
	}
	return stats
}
