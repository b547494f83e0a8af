package haproxy

// Pool is a backend or listen section as proxies would serve it.
type Pool struct {
	Position
	Name     string
	Mode     string
	Pick     string // the pick policy of the settings: lottery, even or pair
	Servers  []Server
	Deadline float64 // timeout server in seconds; 0 if none is set
	Retries  int

	index           int  // among the import's pools
	neverRetries    bool // retry-on has no cause that proves that an RPC never ran
	allBackups      bool // option allbackups
	hasFaultyServer bool // a server was left out for a fault, so that a lack of servers is not reported as well
}

// The pick policies of the settings.
const (
	pickLottery = "lottery"
	pickEven    = "even"
	pickPair    = "pair"
)

// defaultRetries is HAProxy's number of retries where none is set (manual, 4.2 retries).
const defaultRetries = 3

// ListedServers returns the servers that the endpoint list shows.
func (p Pool) ListedServers() (servers []Server) {
	for _, server := range p.Servers {
		if server.State != Unused {
			servers = append(servers, server)
		}
	}
	return servers
}

// importPool imports a backend or listen section.
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

// applyDefaults applies the lines that a section inherits. Their notes and faults are discarded, because they were reported
// when the defaults section itself was imported.
func (m *importer) applyDefaults(proxy *section, pool *Pool) {
	if proxy.defaults == nil {
		return
	}
	silent := &importer{defaults: m.defaults, backends: m.backends}
	for _, line := range proxy.defaults.inheritedLines() {
		silent.importLine(proxyLine{Line: line, section: proxy, index: notInSection, pool: pool, acls: map[string]bool{}})
	}
}

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

// assignStates sets the state of each server of a pool. Backups are used only where no other server is (manual, 5.2 backup).
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

// openBackups opens the first backup that can be used, or all of them with option allbackups. It tells whether there is one.
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

func (p *Pool) totalWeight() (total int) {
	for _, server := range p.Servers {
		total += server.Weight
	}
	return total
}
