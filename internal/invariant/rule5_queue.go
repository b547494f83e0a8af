package invariant

import "gingerfork/internal/trace"

// checkPush applies rule 5 to a push: the number of table entries that are queued at the coordinator is bounded, and so is the
// number of pushes to one proxy within Limits.MessageWindow seconds.
func (c *checker) checkPush(record trace.Record) {
	c.report.Pushes++
	c.report.Entries += int(record.Value)
	c.recordClosest(ruleQueueBounded, float64(record.Count)/float64(c.limits.MaxQueuedEntries), "%d table entries were queued at %s", record.Count, record.Coordinator)
	if record.Count > int64(c.limits.MaxQueuedEntries) {
		c.recordViolation(ruleQueueBounded, record.Coordinator, "%d table entries queued, %d allowed", record.Count, c.limits.MaxQueuedEntries)
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
	c.recordClosest(ruleQueueBounded, float64(messages)/float64(c.limits.MaxMessages), "%s was sent %d messages within %g s", record.Party, messages, c.limits.MessageWindow)
	if messages > c.limits.MaxMessages {
		c.recordViolation(ruleQueueBounded, record.Party, "%d messages within %g s, %d allowed", messages, c.limits.MessageWindow, c.limits.MaxMessages)
	}
}
