package emulator

// noLoadReport is the load in replies of a backend that reports none.
const noLoadReport = -1

type loadSample struct {
	at   Seconds
	load float64
}

// Load gives the RPCs in flight, those of them that are queued, and the share of the cores that are busy.
func (m *Model) Load() (inFlight, queued int, coreUsage float64) {
	running := len(m.running)
	return running + len(m.queue), len(m.queue), float64(running) / float64(m.config.Cores)
}

// reportedLoad is the load for a reply, with the delay and the noise of the reports.
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

// delayedLoad adds a sample and gives the one of the report delay before; 0 if there is none that old.
func (m *Model) delayedLoad(load float64) float64 {
	m.loads = append(m.loads, loadSample{m.now, load})
	reportedAt := m.now - m.config.ReportDelay
	for len(m.loads) > 1 && m.loads[1].at <= reportedAt {
		m.loads = m.loads[1:]
	}
	if m.loads[0].at <= reportedAt {
		return m.loads[0].load
	}
	return 0
}
