package simnet

import (
	"iter"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// meanSyncSeconds is the mean duration of a sync of a simulated disk.
const meanSyncSeconds = 0.005

// OpenStore opens the store on a node's simulated disk and returns the records that earlier incarnations wrote. Only the
// node's NodeFactory may call it.
func (n *Network) OpenStore(name string) (iter.Seq2[string, []byte], error) {
	owner := n.nodes[name]
	if owner.disk == nil {
		owner.disk = disk.NewMemory()
	}
	opened, _, err := store.Open(store.Options{Folder: owner.disk, ID: 1})
	if err != nil {
		n.recordFailure(name, err)
		return nil, err
	}
	owner.store = opened
	return opened.Scan(""), nil
}

// Disk returns the disk of a node, or nil if the node never opened a store.
func (n *Network) Disk(name string) *disk.Memory { return n.nodes[name].disk }

// crashDisk simulates a power failure: of the changes that were not synced, such as written sectors, each is kept with a
// probability of 1/2.
func (n *Network) crashDisk(owner *node) {
	owner.disk = owner.disk.Crash(func() bool { return n.diskRandom.Uint64()&1 == 0 })
	owner.store = nil
}

// persist writes the mutations of a step to the node's store. When the simulated sync is done, after 0.5 to 1.5 times
// meanSyncSeconds, it reports to the node that these mutations, the batch, are durable or that writing or syncing them failed.
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
	delay := meanSyncSeconds * (0.5 + n.diskRandom.Float64())
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

// compact compacts a store until there is nothing left to do. An error ends the compaction; persist calls compact again after the
// next batch of mutations.
func compact(compacted *store.Store) {
	for {
		more, err := compacted.Compact(false)
		if err != nil || !more {
			return
		}
	}
}
