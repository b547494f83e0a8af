package disk

import (
	"maps"
	"slices"
)

// Crash simulates a crash of the computer and returns the folder that is found after the restart; operations on m and its
// files return ErrCrashed from then on. survives is called once for each unsynced change: each name change, each changed file
// size and each written sector. Its result decides whether that change or sector has reached the disk. The order of the calls
// depends only on the operations that were performed.
func (m *Memory) Crash(survives func() bool) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	names := maps.Clone(m.durableFiles)
	for _, change := range m.pendingChanges {
		if survives() {
			change.apply(names)
		}
	}
	recovered := map[*inode]*inode{}
	for _, node := range m.reachableInodes() {
		recovered[node] = durableInode(node.contentAfterCrash(survives))
	}
	folder := NewMemory()
	for name, node := range names {
		folder.files[name] = recovered[node]
		folder.durableFiles[name] = recovered[node]
	}
	return folder
}

// reachableInodes returns the inodes that may be on the disk after a crash, in an order that does not vary between runs.
func (m *Memory) reachableInodes() (nodes []*inode) {
	seen := map[*inode]bool{}
	add := func(node *inode) {
		if node != nil && !seen[node] {
			seen[node] = true
			nodes = append(nodes, node)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durableFiles)) {
		add(m.durableFiles[name])
	}
	for _, change := range m.pendingChanges {
		add(change.node)
	}
	return nodes
}

// contentAfterCrash returns the content that is found after a crash; survives is as in Memory.Crash.
func (n *inode) contentAfterCrash(survives func() bool) []byte {
	size := len(n.disk)
	if len(n.data) != size && survives() {
		size = len(n.data)
	}
	found := resized(n.disk, size)
	data := resized(n.data, max(len(n.data), size))
	for _, offset := range changedSectors(n.disk, n.data) {
		if survives() && offset < size {
			copy(found[offset:], data[offset:min(offset+SectorSize, size)])
		}
	}
	return found
}
