package coordinator

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
)

// departedRetention is how long a proxy that left keeps its number, in seconds. The decision module keeps the state of such a
// proxy for a shorter time, so a number is not reused before the module has forgotten its former proxy.
const departedRetention = 2 * choice.BackendRetention

// maxDepartedProxies limits the proxies that left and still have their numbers. Above it the one that left first gives up its
// number early.
const maxDepartedProxies = 10_000

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
	name       string
	number     choice.ProxyID
	stream     *proxyStream   // nil if the proxy is not joined
	lastStream streamID       // its last stream, which may have ended
	leftAt     choice.Seconds // when the proxy last left
	departed   bool           // it is in controller.departed; it may have joined again since
	departedAt choice.Seconds // the value of leftAt when it was last added to controller.departed
}

// join adds a proxy. If the proxy is joined already, its older stream is rejected: either its connection broke and this was not
// detected yet, or another process uses the same name. A hello that arrives late, on a connection that was opened before the
// proxy's last stream, is rejected as well, even if that stream has ended.
func (c *controller) join(now choice.Seconds, joined proxyJoined) {
	record := c.proxies[joined.hello.Name]
	if record != nil && joined.stream < record.lastStream {
		c.result.rejections = append(c.result.rejections, rejection{joined.stream, reasonSuperseded})
		return
	}
	if record == nil {
		record = &proxyRecord{name: joined.hello.Name, number: c.allocateNumber()}
		c.proxies[record.name] = record
	}
	if record.stream != nil {
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
	record.stream, record.lastStream = stream, stream.id
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
	if !record.departed {
		c.addDeparted(record)
	}
	c.pendingEvents = append(c.pendingEvents, choice.ProxyLeft{Proxy: stream.proxy})
}

// addDeparted adds a proxy to those that left.
func (c *controller) addDeparted(record *proxyRecord) {
	record.departed, record.departedAt = true, record.leftAt
	c.departed = append(c.departed, record)
}

// forgetDeparted removes proxies that left so long ago that the decision module has forgotten them, and frees their numbers. Above
// maxDepartedProxies it removes those that left first.
func (c *controller) forgetDeparted(now choice.Seconds) {
	for len(c.departed) > 0 {
		record, tooMany := c.departed[0], len(c.departed) > maxDepartedProxies
		if !tooMany && now < record.departedAt+departedRetention {
			return
		}
		c.departed[0] = nil
		c.departed = c.departed[1:]
		record.departed = false
		switch {
		case record.stream != nil: // it joined again, and is added when it leaves
		case tooMany || now >= record.leftAt+departedRetention:
			c.forgetProxy(record)
		default: // it joined again and left once more since
			c.addDeparted(record)
		}
	}
}

// forgetProxy removes a proxy that left and frees its number. If the decision module hasn't forgotten it yet, another proxy that gets
// the number continues with its usage and is sent whole tables, as any proxy that joins.
func (c *controller) forgetProxy(record *proxyRecord) {
	delete(c.proxies, record.name)
	c.checkpoint.RemoveProxy(record.name)
	c.reports.forgetProxy(record.number)
	c.freeNumbers = append(c.freeNumbers, record.number)
}
