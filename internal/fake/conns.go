package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/statemachine"
)

// sortedConns lists the keys of a map of connections in order, so that runs with the same seed repeat exactly.
func sortedConns[T any](byConn map[statemachine.Conn]T) []statemachine.Conn {
	return slices.Sorted(maps.Keys(byConn))
}
