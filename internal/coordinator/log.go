package coordinator

// Levels of log messages, with the values of statemachine.LogLevel.
const (
	logInfo    = 1
	logWarning = 2
	logError   = 3
)

// maxRejectionReasons bounds the number of reasons in a rejectionLog, and so its memory, because reasons contain text from
// other processes.
const maxRejectionReasons = 1000

// rejectionLog counts the sessions that this coordinator rejected, by the reason that the other side is sent. It limits the
// number of log messages: the first rejection for a reason is logged, and then each one that doubles their number.
type rejectionLog map[string]int

// count counts a rejection and returns how many there were for this reason, and whether to log this one. All counts start
// again from 0 when there are too many reasons.
func (l rejectionLog) count(reason string) (times int, shouldLog bool) {
	if len(l) > maxRejectionReasons {
		clear(l)
	}
	l[reason]++
	times = l[reason]
	isPowerOfTwo := times&(times-1) == 0
	return times, isPowerOfTwo
}
