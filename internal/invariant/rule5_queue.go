package invariant

import "gingerfork/internal/trace"

// checkPush applies rule 5 to a push: the entries that wait at the coordinator, and the messages to one proxy within the
// message window, are bounded.
func (c *checker) checkPush(record trace.Record) {
	c.report.Pushes++
	c.report.Entries += int(record.Value)
	c.measure(ruleQueueBounded, float64(record.Count)/float64(c.limits.MaxQueuedEntries), "%d lines waited at %s", record.Count, record.Coordinator)
	if record.Count > int64(c.limits.MaxQueuedEntries) {
		c.violate(ruleQueueBounded, record.Coordinator, "%d lines waited, %d allowed", record.Count, c.limits.MaxQueuedEntries)
	}
	p := c.proxy(record.Party)
	p.pushTimes = append(p.pushTimes, record.Time)
	for p.pushTimes[0] < record.Time-c.limits.MessageWindow {
		p.pushTimes = p.pushTimes[1:]
	}
	if c.limits.MaxMessages <= 0 {
		return
	}
	messages := len(p.pushTimes)
	c.measure(ruleQueueBounded, float64(messages)/float64(c.limits.MaxMessages), "%s had %d messages within %g s", record.Party, messages, c.limits.MessageWindow)
	if messages > c.limits.MaxMessages {
		c.violate(ruleQueueBounded, record.Party, "%d messages within %g s, %d allowed", messages, c.limits.MessageWindow, c.limits.MaxMessages)
	}
}
