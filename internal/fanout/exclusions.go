package fanout

import (
	"slices"

	"gingerfork/choice"
)

// setExclusion excludes a backend at every proxy whose tables contain it or that uses a table of an earlier stream and was
// notified of the exclusions so far, or restores it at the proxies whose tables contain it. Other proxies need no operation, since each table entry
// says whether its backend is excluded.
func (d *Distributor) setExclusion(command choice.SetExclusion) {
	if command.Excluded {
		d.excluded[command.Backend] = true
	} else {
		delete(d.excluded, command.Backend)
	}
	change := ExclusionChange{Backend: command.Backend, Excluded: command.Excluded}
	for subscriber := range d.Subscribers() {
		if d.sendExclusion(subscriber, command) {
			change.Proxies++
		}
	}
	d.changes = append(d.changes, change)
}

// sendExclusion applies an exclusion change to one proxy and returns whether the proxy is sent an operation.
func (d *Distributor) sendExclusion(subscriber *Subscriber, command choice.SetExclusion) bool {
	uses := d.uses(subscriber, command.Backend)
	if command.Excluded {
		usesEarlierTable := subscriber.informed && d.partiallyBound(subscriber)
		if !uses && !usesEarlierTable {
			return false
		}
		d.exclude(subscriber, command.Backend)
		return true
	}
	if !subscriber.excluded[command.Backend] {
		return false
	}
	delete(subscriber.excluded, command.Backend)
	if !uses {
		return false
	}
	d.enqueue(subscriber, TableOp{Kind: OpRestore, Backends: []choice.BackendID{command.Backend}}, 1)
	return true
}

func (d *Distributor) exclude(subscriber *Subscriber, backend choice.BackendID) {
	subscriber.excluded[backend] = true
	d.enqueue(subscriber, TableOp{Kind: OpExclude, Backends: []choice.BackendID{backend}}, 1)
}

// uses returns whether a backend has a positive weight in any table of the proxy.
func (d *Distributor) uses(subscriber *Subscriber, backend choice.BackendID) bool {
	return slices.ContainsFunc(subscriber.subscriptions, func(bound subscription) bool {
		return d.tables[bound.table].weights[backend] > 0
	})
}

// partiallyBound returns whether the proxy may still use a table of an earlier stream for some methods.
func (d *Distributor) partiallyBound(subscriber *Subscriber) bool {
	methods := uint64(0)
	for _, bound := range subscriber.subscriptions {
		if bound.methods == 0 {
			return false
		}
		methods |= bound.methods
	}
	return methods&d.AllMethods != d.AllMethods || len(subscriber.subscriptions) == 0
}

// notifyExclusions sends the excluded backends to the proxies that need them, see Flush.
func (d *Distributor) notifyExclusions(previouslyExcluded func() []choice.BackendID) {
	var excluded []choice.BackendID
	collected := false
	for _, subscriber := range d.uninformed {
		if d.subscribers[subscriber.Proxy] != subscriber || !d.partiallyBound(subscriber) {
			continue
		}
		if !collected {
			collected = true
			excluded = d.allExcluded(previouslyExcluded)
		}
		for _, backend := range excluded {
			if !subscriber.excluded[backend] {
				d.exclude(subscriber, backend)
			}
		}
	}
	d.uninformed = d.uninformed[:0]
}

// allExcluded returns the backends excluded by this instance and before it, sorted and without duplicates.
func (d *Distributor) allExcluded(previouslyExcluded func() []choice.BackendID) []choice.BackendID {
	var excluded []choice.BackendID
	if previouslyExcluded != nil {
		excluded = previouslyExcluded()
	}
	for backend := range d.excluded {
		excluded = append(excluded, backend)
	}
	slices.Sort(excluded)
	return slices.Compact(excluded)
}
