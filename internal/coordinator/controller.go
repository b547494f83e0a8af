package coordinator

import (
	"fmt"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/fanout"
	"gingerfork/internal/proto"
)

const (
	// maxWakeDelay is the time to the next step if nothing is due earlier, in seconds.
	maxWakeDelay choice.Seconds = 3600
	// minWakeDelay is the shortest time to the next step that the controller requests, in seconds. Otherwise a deadline that
	// rounding makes appear to be not quite reached would be requested again and again at the same time.
	minWakeDelay choice.Seconds = 1e-4
	// defaultPushRate is the rate of pushes if the settings have none, in table entries per second.
	defaultPushRate = 1e4
)

// Stats are counts since the controller was created. A push is charged, in addition to its table entries, the entries of
// overhead that Settings.MessageHeaderLines gives.
type Stats struct {
	Joins                 int // proxies that joined
	Pushes                int // pushes that were sent
	Entries               int // size of these pushes in table entries, with overhead
	Bytes                 int // size of the pushes' frames
	Steps                 int // steps of the decision module
	StaleAcknowledgements int // acknowledgements of nonces that were not in flight
	MaxQueuedEntries      int // the largest size of the push queue, in table entries with overhead
}

// controller is the part of a coordinator that knows neither sessions nor the protocol.
type controller struct {
	planner      *choice.Planner // the decision module
	methodCount  int             // number of methods in the settings
	stepInterval choice.Seconds  // shortest time from a step of the decision module to one that its timer did not request

	endpoints   *endpointList
	checkpoint  *checkpoint.Checkpointer
	pushQueue   pushQueue
	reports     *reportAggregator
	distributor *fanout.Distributor

	streams  map[streamID]*proxyStream
	proxies  map[string]*proxyRecord // by the proxy's name
	departed []*proxyRecord          // proxies that left, oldest first; may include some that joined again
	// freeNumbers are proxy numbers that may be assigned to another proxy.
	freeNumbers []choice.ProxyID
	// streamsByNumber is indexed by the proxy's number; nil where no proxy is joined.
	streamsByNumber []*proxyStream

	pendingEvents        []choice.Event // events for the next step of the decision module
	heldAcknowledgements []heldAcknowledgement
	timerAt              choice.Seconds // when the decision module's timer fires
	timer                choice.TimerID // number of the decision module's timer
	step                 uint64         // number of the decision module's last step
	lastStepAt           choice.Seconds // time of the decision module's last step
	result               stepResult     // result of the call of handle in progress, so far
	stats                Stats
}

// newController returns a controller that continues from the state that the previous run saved. If that is nil, nothing is
// persisted.
func newController(config choice.Config, saved *checkpoint.State) *controller {
	return assembleController(config, checkpoint.New(config.Now, saved), restoreEndpointList(saved))
}

// withConfig returns a new controller with other settings that takes over the endpoint list and the checkpointer, and has no
// streams.
func (c *controller) withConfig(config choice.Config) *controller {
	return assembleController(config, c.checkpoint, c.endpoints)
}

// assembleController returns a controller for which the endpoint list, if there is one, is the decision module's first event.
func assembleController(config choice.Config, checkpointer *checkpoint.Checkpointer, endpoints *endpointList) *controller {
	settings := &config.Settings
	stepInterval := settings.Tick.Or(0)
	var pendingEvents []choice.Event
	if endpoints.received {
		pendingEvents = append(pendingEvents, endpoints.cachedUpdate())
	}
	return &controller{
		planner:      choice.New(config),
		methodCount:  len(settings.Methods),
		stepInterval: stepInterval,
		endpoints:    endpoints,
		checkpoint:   checkpointer,
		pushQueue: pushQueue{
			entriesPerSecond: settings.ChannelLinesPerSecond.Or(defaultPushRate),
			overheadEntries:  int(settings.MessageHeaderLines.Or(0)),
			maxCatchUp:       stepInterval,
			nextSendAt:       config.Now,
		},
		reports:       newReportAggregator(config),
		distributor:   fanout.New(),
		streams:       map[streamID]*proxyStream{},
		proxies:       map[string]*proxyRecord{},
		timerAt:       config.Now,
		lastStepAt:    config.Now - stepInterval,
		pendingEvents: pendingEvents,
	}
}

func (c *controller) currentStats() Stats {
	stats := c.stats
	stats.MaxQueuedEntries = c.pushQueue.maxQueuedEntries
	return stats
}

// handle applies events in order, lets the decision module take a step if one is due, and returns what is to be done. After
// an error, which is a *moduleFailure, the controller must not be used any more.
func (c *controller) handle(now choice.Seconds, events []event) (stepResult, error) {
	c.result = stepResult{wakeAt: now + maxWakeDelay}
	for _, e := range events {
		c.apply(now, e)
	}
	c.sendQueued(now)
	c.pendingEvents = append(c.pendingEvents, c.reports.takeDue(now)...)
	c.releaseAcknowledgements(now)
	if err := c.stepModuleIfDue(now); err != nil {
		return stepResult{}, err
	}
	c.scheduleWake(now)
	c.forgetDeparted(now)
	c.result.mutations, c.result.batch = c.checkpoint.TakeBatch(now)
	return c.result, nil
}

// apply applies one event. Events of streams that the controller has closed are ignored.
func (c *controller) apply(now choice.Seconds, incoming event) {
	switch incoming := incoming.(type) {
	case proxyJoined:
		c.join(now, incoming)
	case streamClosed:
		if stream := c.streams[incoming.stream]; stream != nil {
			c.leave(now, stream)
		}
	case pushAcknowledged:
		if stream := c.streams[incoming.stream]; stream != nil {
			c.acknowledge(now, stream, incoming.nonce)
		}
	case proxyReported:
		if stream := c.streams[incoming.stream]; stream != nil {
			c.reports.add(now, stream, incoming.report, c.endpoints.has, c.methodCount)
		}
	case endpointListReceived:
		c.applyEndpointList(now, incoming.update)
	case endpointListLost:
		c.pendingEvents = append(c.pendingEvents, choice.EndpointUpdate{Kind: choice.UpdateFailed})
	case batchPersisted:
		c.checkpoint.Persisted(incoming.batch)
	case persistFailed:
		c.checkpoint.PersistFailed()
	case probeFinished:
		c.pendingEvents = append(c.pendingEvents,
			choice.ProbeResult{Backend: incoming.backend, OK: incoming.ok, Busy: incoming.busy, Latency: incoming.latency})
	case peerMessage:
		c.pendingEvents = append(c.pendingEvents, choice.PeerMessage{From: incoming.from, Data: []byte(incoming.data)})
	default:
		panic(fmt.Sprintf("coordinator: unknown event %T", incoming))
	}
}

// applyEndpointList updates the endpoint list, persists the change and passes it on to the decision module. A frame that is
// rejected is passed on as a failed update.
func (c *controller) applyEndpointList(now choice.Seconds, frame proto.EndpointUpdate) {
	change, err := c.endpoints.apply(now, frame)
	if err != nil {
		c.result.endpointListError = err
		c.pendingEvents = append(c.pendingEvents, choice.EndpointUpdate{Kind: choice.UpdateFailed})
		return
	}
	if len(change.update.Endpoints) > 0 || change.update.Kind == choice.UpdateFull {
		c.checkpoint.UpdateEndpoints(now, c.endpoints.version, change.changed, change.removed)
	}
	c.pendingEvents = append(c.pendingEvents, change.update)
}

// scheduleWake sets the time of the next step to the earliest of all deadlines.
func (c *controller) scheduleWake(now choice.Seconds) {
	if len(c.pendingEvents) > 0 {
		c.wakeBy(c.lastStepAt + c.stepInterval)
	}
	c.wakeBy(c.timerAt)
	if at, ok := c.pushQueue.nextAt(); ok {
		c.wakeBy(at)
	}
	if at, ok := c.reports.nextAt(); ok {
		c.wakeBy(at)
	}
	if at, ok := c.checkpoint.NextDeadline(now); ok {
		c.wakeBy(at)
	}
	c.result.wakeAt = max(c.result.wakeAt, now+minWakeDelay)
}

// wakeBy requests a step at the given time or earlier.
func (c *controller) wakeBy(at choice.Seconds) { c.result.wakeAt = min(c.result.wakeAt, at) }
