package emulator

// noLoadReport is the value of Reply.Load if the backend does not report its load.
const noLoadReport = -1

// loadSample is a backend's load at a time: queued and running jobs per core.
type loadSample struct {
	at   Seconds
	load float64
}

// Load returns the number of jobs in flight (queued or on a core), how many of them are queued, and the share of the cores that
// are busy. Besides RPCs it counts the work of connections and probes.
func (m *Model) Load() (inFlight, queued int, coreUsage float64) {
	running := len(m.running)
	return running + len(m.queue), len(m.queue), float64(running) / float64(m.config.Cores)
}

// reportedLoad returns the load to report in a reply, in jobs per core, with the configured delay and noise.
func (m *Model) reportedLoad() float64 {
	if !m.config.ReportsLoad {
		return noLoadReport
	}
	load := float64(len(m.running)+len(m.queue)) / float64(m.config.Cores)
	if m.config.ReportDelay > 0 {
		load = m.delayedLoad(load)
	}
	if variation := m.config.ReportNoise; variation > 0 {
		load *= m.random.lognormal(variation)
	}
	return load
}

// delayedLoad stores the current load and returns the load that was stored last before the report delay; 0 if there is none.
func (m *Model) delayedLoad(load float64) float64 {
	m.loadSamples = append(m.loadSamples, loadSample{m.now, load})
	reportedAt := m.now - m.config.ReportDelay
	for len(m.loadSamples) > 1 && m.loadSamples[1].at <= reportedAt {
		m.loadSamples = m.loadSamples[1:]
	}
	if m.loadSamples[0].at <= reportedAt {
		return m.loadSamples[0].load
	}
	return 0
}
