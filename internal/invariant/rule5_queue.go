package invariant

import "gingerfork/internal/trace"

// checkPush applies rule 5 to a push: the entries that wait at the coordinator, and the messages to one proxy within the
// message window, are bounded.
func (c *checker) checkPush(record trace.Record) {
	c.report.Pushes++
	c.report.Entries += int(record.X)
	c.measure(ruleQueueBounded, float64(record.N)/float64(c.limits.MaxQueuedEntries), "%d lines waited at %s", record.N, record.Of)
	if record.N > int64(c.limits.MaxQueuedEntries) {
		c.violate(ruleQueueBounded, record.Of, "%d lines waited, %d allowed", record.N, c.limits.MaxQueuedEntries)
	}
	p := c.proxy(record.Who)
	p.pushTimes = append(p.pushTimes, record.T)
	for p.pushTimes[0] < record.T-c.limits.MessageWindow {
		p.pushTimes = p.pushTimes[1:]
	}
	if c.limits.MaxMessages <= 0 {
		return
	}
	messages := len(p.pushTimes)
	c.measure(ruleQueueBounded, float64(messages)/float64(c.limits.MaxMessages), "%s had %d messages within %g s", record.Who, messages, c.limits.MessageWindow)
	if messages > c.limits.MaxMessages {
		c.violate(ruleQueueBounded, record.Who, "%d messages within %g s, %d allowed", messages, c.limits.MessageWindow, c.limits.MaxMessages)
	}
}
