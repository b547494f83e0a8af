package simnet

import (
	"iter"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// syncTime is the mean time that a disk takes for a sync, in seconds.
const syncTime = 0.005

// OpenStore opens the store of a node, on its simulated disk, and returns the records that earlier incarnations wrote. It is to be
// called by the node's NodeFactory.
func (n *Network) OpenStore(name string) (iter.Seq2[string, []byte], error) {
	owner := n.nodes[name]
	if owner.disk == nil {
		owner.disk = disk.NewMemory()
	}
	opened, _, err := store.Open(store.Options{Folder: owner.disk, ID: 1})
	if err != nil {
		n.fail(name, err)
		return nil, err
	}
	owner.store = opened
	return opened.Scan(""), nil
}

// Disk returns the disk of a node, or nil if the node never opened a store.
func (n *Network) Disk(name string) *disk.Memory { return n.nodes[name].disk }

// crashDisk leaves of a node's disk what a power failure leaves: of what was not synced, each sector is there or not.
func (n *Network) crashDisk(owner *node) {
	owner.disk = owner.disk.Crash(func() bool { return n.diskRandom.Uint64()&1 == 0 })
	owner.store = nil
}

// persist writes the mutations of a step and reports to the node when they are durable, some milliseconds later.
func (n *Network) persist(owner *node, mutations []statemachine.Mutation, batchNumber uint64) {
	if owner.store == nil || batchNumber == 0 {
		return
	}
	var batch store.Batch
	for _, mutation := range mutations {
		if mutation.Value == nil {
			batch.Delete(mutation.Key)
		} else {
			batch.Put(mutation.Key, mutation.Value)
		}
	}
	sequence, err := owner.store.Write(&batch)
	incarnation := owner.incarnation
	delay := syncTime * (0.5 + n.diskRandom.Float64())
	n.Schedule(n.now+delay, func() {
		if owner.incarnation != incarnation || !owner.up {
			return
		}
		if err == nil {
			err = owner.store.SyncTo(sequence)
		}
		if err != nil {
			n.deliver(owner, statemachine.Input{Kind: statemachine.PersistFailed, Text: err.Error()})
			return
		}
		compact(owner.store)
		n.deliver(owner, statemachine.Input{Kind: statemachine.Persisted, Batch: batchNumber})
	})
}

// compact compacts a store until there is nothing left to do. An error ends it; it is called again after the next write.
func compact(compacted *store.Store) {
	for {
		more, err := compacted.Compact(false)
		if err != nil || !more {
			return
		}
	}
}
