package haproxy

// Pool is an imported backend or listen section.
type Pool struct {
	Position
	Name     string
	Mode     string // from the keyword mode; tcp if that is not set
	Pick     string // pick policy in the settings: lottery, even or pair
	Servers  []Server
	Deadline float64 // in seconds, from timeout server; 0 if that is not set
	Retries  int     // number of retries after the first attempt, as configured

	index           int  // position among the pools of the import, by which the pool's ports are chosen
	neverRetries    bool // retry-on names no cause that proves that an RPC never ran, so that no RPC is retried
	allBackups      bool // the section has the option allbackups
	hasFaultyServer bool // a server was left out because of a fault, so that a lack of servers is not reported on top of it
}

// The pick policies, by which proxies pick a backend for an RPC, as written in the settings.
const (
	pickLottery = "lottery"
	pickEven    = "even"
	pickPair    = "pair"
)

// defaultRetries is the number of retries that HAProxy makes if none is configured (manual, 4.2 retries).
const defaultRetries = 3

// ListedServers returns the servers that are on the endpoint list: all except those whose state is Unused.
func (p Pool) ListedServers() (servers []Server) {
	for _, server := range p.Servers {
		if server.State != Unused {
			servers = append(servers, server)
		}
	}
	return servers
}

// importPool imports a backend or listen section as a pool.
func (m *importer) importPool(proxy *section) {
	pool := &Pool{index: len(m.pools), Position: proxy.Position, Name: proxy.name, Mode: "tcp", Pick: pickLottery, Retries: defaultRetries}
	m.applyDefaults(proxy, pool)
	if proxy.kind == kindListen {
		m.importRoutes(proxy)
	}
	m.importLines(proxy, pool)
	m.checkDuplicateServers(pool)
	m.assignStates(pool)
	m.pools = append(m.pools, *pool)
}

// applyDefaults applies the lines that a section inherits from a defaults section to its pool. Notes and faults are discarded,
// because they were reported when the defaults section itself was imported.
func (m *importer) applyDefaults(proxy *section, pool *Pool) {
	if proxy.defaults == nil {
		return
	}
	silent := &importer{defaults: m.defaults, backends: m.backends}
	for _, line := range proxy.defaults.inheritedLines() {
		silent.importLine(proxyLine{Line: line, section: proxy, index: notInSection, pool: pool, acls: map[string]bool{}})
	}
}

// checkDuplicateServers reports servers of a pool that have the same name or the same id.
func (m *importer) checkDuplicateServers(pool *Pool) {
	names, ids := map[string]Server{}, map[int]Server{}
	for _, server := range pool.Servers {
		if first, duplicate := names[server.Name]; duplicate {
			m.fault(server.Position, ErrDuplicate, "server %s is listed twice in %s, first at line %d", server.Name, pool.Name, first.Line)
		} else {
			names[server.Name] = server
		}
		if server.ID == 0 {
			continue
		}
		if first, duplicate := ids[server.ID]; duplicate {
			m.fault(server.Position, ErrDuplicate, "id %d of server %s is that of %s at line %d", server.ID, server.Name, first.Name, first.Line)
		} else {
			ids[server.ID] = server
		}
	}
}

// assignStates sets the state of each server of a pool, and reports a fault if no server can be used. Backups are used only if no
// other server can be (manual, 5.2 backup).
func (m *importer) assignStates(pool *Pool) {
	active := 0
	for i := range pool.Servers {
		server := &pool.Servers[i]
		server.State = server.initialState()
		if server.State == Open {
			active++
		}
	}
	switch {
	case active > 0 || pool.hasFaultyServer:
	case len(pool.Servers) == 0:
		m.fault(pool.Position, ErrNoServer, "%s has no servers", pool.Name)
	case pool.openBackups():
	case pool.totalWeight() == 0:
		m.fault(pool.Position, ErrNoServer, "the weights of %s sum to nothing", pool.Name)
	default:
		m.fault(pool.Position, ErrNoServer, "%s has no server in use", pool.Name)
	}
}

// openBackups sets the first usable backup to Open, or all usable backups with option allbackups. It reports whether there is a
// usable backup.
func (p *Pool) openBackups() bool {
	opened := false
	for i := range p.Servers {
		server := &p.Servers[i]
		if !server.Backup || server.Disabled || server.Weight == 0 {
			continue
		}
		server.State, opened = Open, true
		if !p.allBackups {
			break
		}
	}
	return opened
}

// totalWeight returns the sum of the weights of all servers of the pool, used or not.
func (p *Pool) totalWeight() (total int) {
	for _, server := range p.Servers {
		total += server.Weight
	}
	return total
}
