package invariant

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/trace"
)

// streamTimeoutMargin is how much shorter than Limits.EndpointStreamTimeout, in seconds, a partition may be to count as long
// enough for a coordinator to give up its stream to the endpoint list service.
const streamTimeoutMargin = 1.5

// States of an endpoint in a trace.
const (
	stateOpen     = 'o'
	stateDraining = 'd'
	stateGone     = 'g'
)

// fullUpdate is the kind of an endpoint update that lists all endpoints. Updates of other kinds list those that changed.
const fullUpdate = "full"

// endpoint is an endpoint as one process knows it.
type endpoint struct {
	state           byte
	stateTime       float64 // since when the process knows this state
	start           float64 // when the backend's process started; 0: long ago
	startKnownSince float64 // since when the process knows this start time
}

// endpointView is an endpoint list as one process knows it, by backend.
type endpointView map[uint32]endpoint

// coordinator is what a coordinator knows of the endpoint list, as the records show it.
type coordinator struct {
	endpoints      endpointView
	availableSince float64        // since when the coordinator's list has had an open, warm backend without a break; infinite: it has none
	nextWarmTime   float64        // when the next listed open backend becomes warm; infinite: there is none
	pausedUntil    float64        // end of the last pause of the coordinator's process, which learns only then of what arrived meanwhile
	partitions     int            // number of present partitions between the coordinator and the endpoint list service
	partitionStart float64        // when the first of the present partitions began
	delayed        []trace.Record // endpoint updates that partitions hold back

	mustPoll          bool            // a partition was long enough to end the stream to the endpoint list service
	pollTime          float64         // when the coordinator last polled the endpoint list service
	uncertainBackends map[uint32]bool // backends in the updates of that partition, which may or may not have arrived
}

// restartCoordinator applies the start of a new process of a coordinator. That process may know the endpoints that its
// predecessor knew, but counts as notified of their states no earlier than now.
func (c *checker) restartCoordinator(coord *coordinator, now float64) {
	coord.pausedUntil, coord.delayed = 0, nil
	for backend, e := range coord.endpoints {
		e.stateTime = max(e.stateTime, now)
		coord.endpoints[backend] = e
	}
	coord.availableSince = math.Inf(1)
	coord.updateAvailability(now, c.limits.WarmAfter)
}

// recordPoll applies a poll of the endpoint list service.
func (c *coordinator) recordPoll(now float64) {
	c.pollTime = now
	if c.partitions == 0 {
		c.delayed = nil // the answer to the poll contains all of it
	}
}

// updateAvailability updates since when the list has an open, warm backend, and when the next listed one becomes warm.
func (c *coordinator) updateAvailability(now, warmAfter float64) {
	warm, next := false, math.Inf(1)
	for _, e := range c.endpoints {
		if e.state != stateOpen {
			continue
		}
		if warmTime := e.start + warmAfter; e.start == 0 || warmTime <= now {
			warm = true
		} else {
			next = min(next, warmTime)
		}
	}
	c.nextWarmTime = next
	switch {
	case !warm:
		c.availableSince = math.Inf(1)
	case math.IsInf(c.availableSince, 1):
		c.availableSince = now
	}
}

// handleEndpointLink applies the beginning or end of a partition between a coordinator and the endpoint list service.
func (c *checker) handleEndpointLink(record trace.Record) error {
	coord := c.coordinator(record.Coordinator)
	if record.Kind == trace.LinkCut {
		coord.partitions++
		if coord.partitions == 1 {
			coord.partitionStart = record.Time
		}
		return nil
	}
	coord.partitions--
	if coord.partitions > 0 {
		return nil
	}
	if record.Time-coord.partitionStart > c.limits.EndpointStreamTimeout-streamTimeoutMargin {
		coord.loseStream(record.Time)
		return nil
	}
	return c.deliverDelayed(coord, record.Time)
}

// loseStream applies the end of a partition that was long enough for the coordinator to give up its stream. The stream may also
// have survived: in that case the next update comes without a poll, and the delayed updates arrived before it.
func (c *coordinator) loseStream(now float64) {
	c.mustPoll, c.pollTime, c.uncertainBackends = true, max(c.pollTime, now), map[uint32]bool{}
	if len(c.delayed) > 0 {
		c.availableSince, c.nextWarmTime = math.Inf(1), math.Inf(1) // which backends it lists is not known until it polls
	}
	for _, update := range c.delayed {
		for _, word := range strings.Fields(update.Text) {
			id, _, _ := strings.Cut(word, ":")
			if backend, err := strconv.ParseUint(id, 10, 32); err == nil {
				c.uncertainBackends[uint32(backend)] = true
			}
		}
	}
}

// deliverDelayed applies the updates that a partition held back, as if they arrived now.
func (c *checker) deliverDelayed(coord *coordinator, now float64) error {
	delayed := coord.delayed
	coord.delayed = nil
	for _, update := range delayed {
		update.Time = now
		if err := c.handleEndpoints(update); err != nil {
			return err
		}
	}
	return nil
}

// handleEndpoints applies an endpoint update that a coordinator received, or one that the endpoint list service published if the
// record names no coordinator.
func (c *checker) handleEndpoints(record trace.Record) error {
	if record.Coordinator == "" {
		return c.endpoints.update(record, c.limits.OnlyDrainingBinds)
	}
	coord := c.coordinator(record.Coordinator)
	if coord.partitions > 0 {
		coord.delayed = append(coord.delayed, record)
		return nil
	}
	coord.mustPoll = false
	record.Time = max(record.Time, coord.pausedUntil)
	if err := c.deliverDelayed(coord, record.Time); err != nil {
		return err
	}
	if err := coord.endpoints.update(record, c.limits.OnlyDrainingBinds); err != nil {
		return err
	}
	coord.updateAvailability(record.Time, c.limits.WarmAfter)
	return nil
}

// update applies an endpoint update. With onlyDraining, a draining backend keeps that state when it is removed, so that rule 3
// still applies to it; one that is removed without draining becomes gone, to which rule 3 does not apply then.
func (v endpointView) update(record trace.Record, onlyDraining bool) error {
	kind, entries, _ := strings.Cut(record.Text, " ")
	named := map[uint32]bool{}
	for _, word := range strings.Fields(entries) {
		backend, e, err := parseEndpoint(word)
		if err != nil {
			return err
		}
		named[backend] = true
		e.stateTime, e.startKnownSince = record.Time, record.Time
		if earlier, known := v[backend]; known {
			e.continueFrom(earlier, onlyDraining)
		}
		v[backend] = e
	}
	if kind == fullUpdate {
		v.removeUnnamed(named, record.Time, onlyDraining)
	}
	return nil
}

// continueFrom keeps the times of an earlier update if the state or the start did not change. Removal after draining does not
// count as a change of state.
func (e *endpoint) continueFrom(earlier endpoint, onlyDraining bool) {
	if earlier.state == e.state || earlier.state == stateDraining && e.state == stateGone {
		e.stateTime = earlier.stateTime
		if onlyDraining && earlier.state == stateDraining {
			e.state = stateDraining
		}
	}
	if earlier.start == e.start {
		e.startKnownSince = earlier.startKnownSince
	}
}

// removeUnnamed marks the endpoints that a full update does not list as gone; with onlyDraining, draining ones stay draining.
func (v endpointView) removeUnnamed(named map[uint32]bool, now float64, onlyDraining bool) {
	for backend, e := range v {
		if named[backend] || e.state == stateGone {
			continue
		}
		if e.state == stateOpen {
			e.stateTime = now
		}
		if e.state == stateOpen || !onlyDraining {
			e.state = stateGone
		}
		v[backend] = e
	}
}

// parseEndpoint parses BACKEND:STATE:START:ZONE.
func parseEndpoint(word string) (uint32, endpoint, error) {
	const fieldCount = 4
	fields := strings.Split(word, ":")
	if len(fields) != fieldCount || len(fields[1]) != 1 {
		return 0, endpoint{}, fmt.Errorf("%w: entry %q", ErrBadEndpoint, word)
	}
	backend, err := strconv.ParseUint(fields[0], 10, 32)
	if err != nil {
		return 0, endpoint{}, fmt.Errorf("%w: entry %q: %w", ErrBadEndpoint, word, err)
	}
	start, err := strconv.ParseFloat(fields[2], 64)
	if err != nil {
		return 0, endpoint{}, fmt.Errorf("%w: entry %q: %w", ErrBadEndpoint, word, err)
	}
	return uint32(backend), endpoint{state: fields[1][0], start: start}, nil
}
