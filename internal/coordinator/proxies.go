package coordinator

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
)

// departedRetention is how long a proxy that left keeps its number, in seconds. The decision module keeps the state of such a
// proxy for a shorter time, so a number is not reused before the module has forgotten its former proxy.
const departedRetention = 2 * choice.BackendRetention

// reasonSuperseded is the reason, as sent on the wire, for rejecting the older of two streams of one proxy.
const reasonSuperseded = "this proxy joined again on a newer stream"

// proxyStream is the stream of a joined proxy.
type proxyStream struct {
	id           streamID
	proxyName    string
	proxy        choice.ProxyID // the proxy's number
	zone         choice.Zone
	queue        []*queuedPush  // pushes to be sent, in order
	hasUrgent    bool           // queue has an urgent push
	lastSequence uint64         // sequence number of the last push that was sent
	inFlight     []inFlightPush // pushes that were sent and not acknowledged, in order
	subscriber   *fanout.Subscriber
}

// proxyRecord is a proxy that is joined, or that left and that the decision module may not have forgotten yet.
type proxyRecord struct {
	name   string
	number choice.ProxyID
	stream *proxyStream   // nil if the proxy is not joined
	leftAt choice.Seconds // when the proxy last left
}

// join adds a proxy. If the proxy is joined already, its older stream is rejected.
func (c *controller) join(now choice.Seconds, joined proxyJoined) {
	record := c.proxies[joined.hello.Name]
	if record == nil {
		record = &proxyRecord{name: joined.hello.Name, number: c.allocateNumber()}
		c.proxies[record.name] = record
	}
	if record.stream != nil {
		// Either the older connection broke and this was not detected yet, or another process uses the same name. Only one
		// of the streams can be served.
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
		choice.ProxyJoined{Proxy: stream.proxy, Zone: stream.zone, Rate: joined.hello.Rate, Fresh: joined.hello.HasNoTables})
}

// allocateNumber returns a free proxy number. It prefers numbers that were used before, so that the slices indexed by number
// stay short.
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

// leave removes a proxy's stream. The proxy's record stays for departedRetention.
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

// forgetDeparted removes proxies that left so long ago that the decision module has forgotten them, and frees their numbers.
func (c *controller) forgetDeparted(now choice.Seconds) {
	for len(c.departed) > 0 {
		record := c.departed[0]
		if now < record.leftAt+departedRetention {
			return
		}
		c.departed = c.departed[1:]
		// The proxy may have joined again since, and if it then left once more, it is in the list a second time.
		if record.stream == nil && c.proxies[record.name] == record {
			delete(c.proxies, record.name)
			c.checkpoint.RemoveProxy(record.name)
			c.reports.forgetProxy(record.number)
			c.freeNumbers = append(c.freeNumbers, record.number)
		}
	}
}
