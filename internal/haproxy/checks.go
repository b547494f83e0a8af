package haproxy

import (
	"maps"
	"strings"
)

// serverKey identifies a server by its pool and name.
type serverKey struct{ pool, server string }

func (k serverKey) String() string { return k.pool + "/" + k.server }

// checkTracks checks the track options of all servers: a tracked server must exist, and no chain of tracked servers may be
// circular.
func (m *importer) checkTracks() {
	servers := map[serverKey]Server{}
	for _, pool := range m.pools {
		for _, server := range pool.Servers {
			key := serverKey{pool.Name, server.Name}
			if _, duplicate := servers[key]; !duplicate {
				servers[key] = server
			}
		}
	}
	reported := map[serverKey]bool{} // servers of circular chains that were already reported
	for _, pool := range m.pools {
		for _, server := range pool.Servers {
			if key := (serverKey{pool.Name, server.Name}); !reported[key] {
				m.checkTrack(server, key, servers, reported)
			}
		}
	}
}

// checkTrack follows the chain of tracked servers that begins at a server, and reports a fault if a server of the chain does not
// exist or the chain is circular.
func (m *importer) checkTrack(first Server, key serverKey, servers map[serverKey]Server, reported map[serverKey]bool) {
	visited := map[serverKey]bool{key: true}
	current := first
	for current.Track != "" {
		pool, name, qualified := strings.Cut(current.Track, "/")
		if !qualified {
			pool, name = key.pool, current.Track
		}
		key = serverKey{pool, name}
		tracked, exists := servers[key]
		if !exists {
			m.fault(first.Position, ErrUndefined, "server %s tracks %s, which does not exist", first.Name, current.Track)
			return
		}
		if visited[key] {
			m.fault(first.Position, ErrCycle, "server %s tracks itself in a circle, by %s", first.Name, key)
			maps.Copy(reported, visited)
			return
		}
		visited[key] = true
		current = tracked
	}
}
