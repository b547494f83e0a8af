package coordinator

// Levels of log messages, as statemachine.LogEntry counts them.
const (
	logInfo    = 1
	logWarning = 2
	logError   = 3
)

// maxRejectionReasons bounds the memory of a rejectionLog, as reasons contain text from other processes.
const maxRejectionReasons = 1000

// rejectionLog counts rejections by reason. It limits the log messages about them to the first of each reason and then to
// each doubling of their number.
type rejectionLog map[string]int

// count counts a rejection and returns how many there were for this reason, and whether to log this one.
func (l rejectionLog) count(reason string) (times int, logIt bool) {
	if len(l) > maxRejectionReasons {
		clear(l)
	}
	l[reason]++
	times = l[reason]
	isPowerOfTwo := times&(times-1) == 0
	return times, isPowerOfTwo
}
