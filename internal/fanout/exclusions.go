package fanout

import (
	"slices"

	"gingerfork/choice"
)

// setExclusion excludes or restores a backend, and sends the change to the proxies that need it: see sendExclusion. Others
// need no operation, since each table entry that they are sent says whether its backend is excluded.
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

// sendExclusion sends an exclusion change to one proxy if the proxy needs it, and returns whether it does. An exclusion is
// sent if the proxy's tables contain the backend, or if the proxy may use a table of an earlier stream and was notified of
// the exclusions so far. A restoration is sent if the proxy's tables contain the backend and it was told of the exclusion.
func (d *Distributor) sendExclusion(subscriber *Subscriber, command choice.SetExclusion) bool {
	canRoute := d.canRouteTo(subscriber, command.Backend)
	if command.Excluded {
		usesEarlierTable := subscriber.exclusionsNotified && d.hasUnboundMethods(subscriber)
		if !canRoute && !usesEarlierTable {
			return false
		}
		d.exclude(subscriber, command.Backend)
		return true
	}
	if !subscriber.sentExclusions[command.Backend] {
		return false
	}
	delete(subscriber.sentExclusions, command.Backend)
	if !canRoute {
		return false
	}
	d.enqueue(subscriber, TableOp{Kind: OpRestore, Backends: []choice.BackendID{command.Backend}}, 1)
	return true
}

// exclude sends a proxy an operation that excludes a backend.
func (d *Distributor) exclude(subscriber *Subscriber, backend choice.BackendID) {
	subscriber.sentExclusions[backend] = true
	d.enqueue(subscriber, TableOp{Kind: OpExclude, Backends: []choice.BackendID{backend}}, 1)
}

// canRouteTo returns whether a backend has a positive weight in any table that is bound for the proxy.
func (d *Distributor) canRouteTo(subscriber *Subscriber, backend choice.BackendID) bool {
	return slices.ContainsFunc(subscriber.subscriptions, func(bound subscription) bool {
		return d.tables[bound.table].weights[backend] > 0
	})
}

// hasUnboundMethods returns whether the proxy has no bound table for some methods, for which it may still use a table of an
// earlier stream.
func (d *Distributor) hasUnboundMethods(subscriber *Subscriber) bool {
	methods := uint64(0)
	for _, bound := range subscriber.subscriptions {
		if bound.methods == 0 {
			return false
		}
		methods |= bound.methods
	}
	return methods&d.AllMethods != d.AllMethods || len(subscriber.subscriptions) == 0
}

// notifyExclusions sends the excluded backends to the proxies that need them; see Flush.
func (d *Distributor) notifyExclusions(previouslyExcluded func() []choice.BackendID) {
	var excluded []choice.BackendID
	collected := false
	for _, subscriber := range d.pendingNotifications {
		if d.subscribers[subscriber.Proxy] != subscriber || !d.hasUnboundMethods(subscriber) {
			continue
		}
		if !collected {
			collected = true
			excluded = d.allExcluded(previouslyExcluded)
		}
		for _, backend := range excluded {
			if !subscriber.sentExclusions[backend] {
				d.exclude(subscriber, backend)
			}
		}
	}
	d.pendingNotifications = d.pendingNotifications[:0]
}

// allExcluded returns the backends that were excluded by this instance or before it, sorted and without duplicates.
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
