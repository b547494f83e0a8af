package disk

import (
	"maps"
	"slices"
)

// Crash ends this folder, and returns the one that is found after the restart. survives is called for each change of
// names, for each file whose size changed and for each sector written since they were synced, and says whether it is on
// the disk. The order of these calls depends on nothing but the operations that were done.
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

// reachableInodes returns the files that may be on the disk after a crash, in an order that does not vary between runs.
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

// contentAfterCrash returns the content that is found after a contentAfterCrash.
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
