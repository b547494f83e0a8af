package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/statemachine"
)

// sortedConns returns the keys of a map by connection, sorted, so that runs with the same seed are identical.
func sortedConns[T any](byConn map[statemachine.Conn]T) []statemachine.Conn {
	return slices.Sorted(maps.Keys(byConn))
}
