package invariant

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gingerfork/internal/trace"
)

// streamTimeoutMargin is by how many seconds a coordinator may give up its stream earlier than the configured timeout.
const streamTimeoutMargin = 1.5

// States of an endpoint, as the trace writes them.
const (
	stateOpen     = 'o'
	stateDraining = 'd'
	stateGone     = 'g'
)

// fullUpdate is the kind of an endpoint update that names all endpoints; others name those that changed.
const fullUpdate = "full"

// endpoint is what a party knows of a backend.
type endpoint struct {
	state           byte
	stateTime       float64 // since when this state is known
	start           float64 // when the backend's process started; 0: long ago
	startKnownSince float64
}

// endpointView is an endpoint list as one party knows it.
type endpointView map[uint32]endpoint

// coordinator is what a coordinator knows of the endpoint list, as its records show it.
type coordinator struct {
	endpoints      endpointView
	availableSince float64        // since when it lists an open, warm backend without a break; infinite: it does not
	nextWarm       float64        // when that may come about by time alone
	pausedUntil    float64        // what arrives for it earlier is known to it then
	partitions     int            // partitions from the endpoint list service
	partitionTime  float64        // when the first of them began
	delayed        []trace.Record // endpoint updates that wait behind a partition

	// The stream to the endpoint list service ended in a partition, so the coordinator must poll.
	mustPoll  bool
	pollTime  float64         // when it last polled
	uncertain map[uint32]bool // backends in updates that may or may not have arrived before that
}

// restartCoordinator applies the start of a new process: what its predecessor was notified of does not bind it from earlier on.
func (c *checker) restartCoordinator(coord *coordinator, now float64) {
	coord.pausedUntil, coord.delayed = 0, nil
	for backend, e := range coord.endpoints {
		e.stateTime = max(e.stateTime, now)
		coord.endpoints[backend] = e
	}
	coord.availableSince = math.Inf(1)
	coord.updateAvailability(now, c.limits.WarmAfter)
}

// polled notes a poll of the endpoint list service.
func (c *coordinator) polled(now float64) {
	c.pollTime = now
	if c.partitions == 0 {
		c.delayed = nil // the answer on the new stream holds all of it
	}
}

// updateAvailability determines since when the list shows an open, warm backend.
func (c *coordinator) updateAvailability(now, warmAfter float64) {
	warm, next := false, math.Inf(1)
	for _, e := range c.endpoints {
		if e.state != stateOpen {
			continue
		}
		if at := e.start + warmAfter; e.start == 0 || at <= now {
			warm = true
		} else {
			next = min(next, at)
		}
	}
	c.nextWarm = next
	switch {
	case !warm:
		c.availableSince = math.Inf(1)
	case math.IsInf(c.availableSince, 1):
		c.availableSince = now
	}
}

// handleEndpointLink follows partitions between a coordinator and the endpoint list service.
func (c *checker) handleEndpointLink(record trace.Record) error {
	coord := c.coordinator(record.Coordinator)
	if record.Kind == trace.LinkCut {
		coord.partitions++
		if coord.partitions == 1 {
			coord.partitionTime = record.Time
		}
		return nil
	}
	coord.partitions--
	if coord.partitions > 0 {
		return nil
	}
	if record.Time-coord.partitionTime > c.limits.EndpointStreamTimeout-streamTimeoutMargin {
		coord.loseStream(record.Time)
		return nil
	}
	return c.deliverDelayed(coord, record.Time)
}

// loseStream applies the end of a partition that was long enough for the stream to be given up. The stream may also have
// survived: then the next update comes without a poll, and the delayed ones came before it.
func (c *coordinator) loseStream(now float64) {
	c.mustPoll, c.pollTime, c.uncertain = true, max(c.pollTime, now), map[uint32]bool{}
	if len(c.delayed) > 0 {
		c.availableSince, c.nextWarm = math.Inf(1), math.Inf(1) // what it lists is not known until it polls
	}
	for _, update := range c.delayed {
		for _, word := range strings.Fields(update.Text) {
			id, _, _ := strings.Cut(word, ":")
			if backend, err := strconv.ParseUint(id, 10, 32); err == nil {
				c.uncertain[uint32(backend)] = true
			}
		}
	}
}

// deliverDelayed applies the updates that waited behind a partition, as of now.
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

// handleEndpoints applies an endpoint update that a coordinator received; without a coordinator it is what the endpoint
// list service publishes.
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

// update applies an endpoint update. With onlyDraining a backend that drained keeps that state once it is gone, and one
// that went without a drain stays bound by nothing.
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

// continueFrom keeps the times of an earlier update where state and start did not change.
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

// removeUnnamed sets the endpoints to gone that a full update does not name.
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

// parseEndpoint reads EP:STATE:START:ZONE.
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
