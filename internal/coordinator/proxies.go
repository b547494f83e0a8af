package coordinator

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
)

// departedRetention is how long a proxy that left keeps its number, in seconds. The decision module forgets a proxy earlier
// than this, so that a number is only reused for a proxy of which the module knows nothing.
const departedRetention = 2 * choice.BackendRetention

// reasonSuperseded is sent on the older of two streams of one proxy.
const reasonSuperseded = "this proxy joined again on a newer stream"

// proxyStream is the stream of a proxy that is joined.
type proxyStream struct {
	id           streamID
	proxyName    string
	proxy        choice.ProxyID
	zone         choice.Zone
	queue        []*queuedPush
	hasUrgent    bool           // an urgent push is in queue
	lastSequence uint64         // sequence number of the last push that was sent
	inFlight     []inFlightPush // sent and not acknowledged
	subscriber   *fanout.Subscriber
}

// proxyRecord holds the number of a proxy, joined or not, until the decision module has forgotten the proxy.
type proxyRecord struct {
	name   string
	number choice.ProxyID
	stream *proxyStream // nil if the proxy is not joined
	leftAt choice.Seconds
}

func (c *controller) join(now choice.Seconds, joined proxyJoined) {
	record := c.proxies[joined.hello.Name]
	if record == nil {
		record = &proxyRecord{name: joined.hello.Name, number: c.allocateNumber()}
		c.proxies[record.name] = record
	}
	if record.stream != nil {
		// Either the older connection broke without a notice, or another process uses the same name. Only one of the
		// streams can be served.
		c.result.rejections = append(c.result.rejections, rejection{record.stream.id, reasonSuperseded})
		c.leave(now, record.stream)
	}
	stream := &proxyStream{
		id:         joined.stream,
		proxyName:  record.name,
		proxy:      record.number,
		zone:       choice.Zone(joined.hello.Zone),
		subscriber: c.distributor.Join(record.number),
	}
	record.stream = stream
	c.streams[stream.id] = stream
	c.streamsByNumber[stream.proxy] = stream
	c.stats.Joins++
	c.pendingEvents = append(c.pendingEvents,
		choice.ProxyJoined{Proxy: stream.proxy, Zone: stream.zone, Rate: joined.hello.Rate, Fresh: joined.hello.Fresh})
}

// allocateNumber returns a free number, preferring those used before, so that the module's tables stay small.
func (c *controller) allocateNumber() choice.ProxyID {
	if n := len(c.freeNumbers); n > 0 {
		number := c.freeNumbers[n-1]
		c.freeNumbers = c.freeNumbers[:n-1]
		return number
	}
	number := choice.ProxyID(len(c.streamsByNumber))
	c.streamsByNumber = append(c.streamsByNumber, nil)
	return number
}

func (c *controller) leave(now choice.Seconds, stream *proxyStream) {
	delete(c.streams, stream.id)
	c.streamsByNumber[stream.proxy] = nil
	c.pushQueue.removeStream(stream)
	c.distributor.Leave(stream.subscriber)
	c.heldAcknowledgements = slices.DeleteFunc(c.heldAcknowledgements, func(held heldAcknowledgement) bool {
		return held.stream == stream
	})
	record := c.proxies[stream.proxyName]
	record.stream = nil
	record.leftAt = now
	c.departed = append(c.departed, record)
	c.pendingEvents = append(c.pendingEvents, choice.ProxyLeft{Proxy: stream.proxy})
}

// forgetDeparted frees the numbers of proxies that left so long ago that the decision module has forgotten them.
func (c *controller) forgetDeparted(now choice.Seconds) {
	for len(c.departed) > 0 {
		record := c.departed[0]
		if now < record.leftAt+departedRetention {
			return
		}
		c.departed = c.departed[1:]
		// A proxy that joined again is not departed, and one that left once more is in the list a second time.
		if record.stream == nil && c.proxies[record.name] == record {
			delete(c.proxies, record.name)
			c.checkpoint.RemoveProxy(record.name)
			c.reports.forgetProxy(record.number)
			c.freeNumbers = append(c.freeNumbers, record.number)
		}
	}
}
