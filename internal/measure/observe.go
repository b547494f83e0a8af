package measure

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gingerfork/internal/trace"
)

const (
	pollInterval        = 20 * time.Millisecond  // time between two reads of the recorded trace
	drainWait           = 700 * time.Millisecond // from the start of a drain until its outcome is read
	reopenWait          = 100 * time.Millisecond // from the reopening of a backend until the next one drains
	clockTicksPerSecond = 100                    // clock ticks, the unit of the CPU times in /proc/PID/stat, in a second
	userTimeField       = 11                     // this and the two below: index of a field of /proc/PID/stat, counted from 0 after the command name
	systemTimeField     = 12
	residentPagesField  = 21
)

var errProcessStat = errors.New("can't parse /proc/PID/stat of the coordinator")

// waitForJoins waits until the given number of proxies have applied a table, and returns the seconds from the first join to the
// last of these tables.
func (f *fleet) waitForJoins(proxies int, timeout time.Duration) (seconds float64, err error) {
	firstJoin := 0.0
	applied, last := f.waitForTables(proxies, timeout, func(record trace.Record) bool {
		if record.Kind == trace.ProxyJoined && firstJoin == 0 {
			firstJoin = record.Time
		}
		return true
	})
	if applied < proxies {
		return 0, fmt.Errorf("%d of %d proxies have a table after %v", applied, proxies, timeout)
	}
	return last - firstJoin, nil
}

// restart kills the coordinator, starts it again, and returns the seconds from its start until the given number of proxies have
// applied a new table.
func (f *fleet) restart(proxies int, timeout time.Duration) (seconds float64, err error) {
	_ = f.coordinator.Process.Kill() // fails if it has exited already
	<-f.coordinatorExited
	f.takeRecords()
	start := f.clock.Now()
	if err := f.startCoordinator(); err != nil {
		return 0, err
	}
	applied, last := f.waitForTables(proxies, timeout, func(record trace.Record) bool { return record.Time > start })
	if applied < proxies {
		return 0, fmt.Errorf("%d of %d proxies have a table %v after the coordinator's restart", applied, proxies, timeout)
	}
	return last - start, nil
}

// waitForTables waits until the given number of proxies have applied a table, or until the timeout. It returns how many have, and
// the time when the last one did. Records for which isRelevant returns false are ignored.
func (f *fleet) waitForTables(proxies int, timeout time.Duration, isRelevant func(trace.Record) bool) (applied int, last float64) {
	proxiesWithTable := map[string]bool{}
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		for _, record := range f.takeRecords() {
			if isRelevant(record) && record.Kind == trace.PushApplied && !proxiesWithTable[record.Party] {
				proxiesWithTable[record.Party] = true
				last = max(last, record.Time)
			}
		}
		if len(proxiesWithTable) >= proxies || time.Now().After(deadline) {
			return len(proxiesWithTable), last
		}
	}
}

// drainBackends drains the first count backends one after another. It returns the sorted latencies in seconds, each from when the
// coordinator received the new state of the backend until the last proxy had applied the push that excludes the backend, after
// which no proxy can send there. sent is the number of RPCs that were sent to draining backends.
func (f *fleet) drainBackends(count int) (latencies []float64, sent int) {
	for backend := 1; backend <= count; backend++ {
		f.takeRecords()
		f.endpoints.SendCommand(fmt.Sprintf("state %d draining", backend))
		time.Sleep(drainWait)
		latency, sentMeanwhile, notified := findDrainOutcome(f.takeRecords(), backend)
		sent += sentMeanwhile
		if notified {
			latencies = append(latencies, latency)
		}
		f.endpoints.SendCommand(fmt.Sprintf("state %d open", backend))
		time.Sleep(reopenWait)
	}
	slices.Sort(latencies)
	return latencies, sent
}

// findDrainOutcome finds in a trace the latency of a backend's drain in seconds, and the number of RPCs sent to the backend after
// the coordinator was notified. notified is false if the trace shows no delivery to the coordinator.
func findDrainOutcome(records []trace.Record, backend int) (latency float64, sent int, notified bool) {
	start, last := 0.0, 0.0
	exclusion := fmt.Sprint("withdraw ", backend) // as written in the text of trace.PushApplied
	for _, record := range records {
		switch {
		case record.Kind == trace.EndpointsDelivered && record.Coordinator == coordinatorName && start == 0:
			start = record.Time
		case record.Kind == trace.PushApplied && slices.Contains(strings.Split(record.Text, ";"), exclusion):
			last = max(last, record.Time)
		case record.Kind == trace.AttemptSent && record.Backend == uint32(backend) && start > 0:
			sent++
		}
	}
	return max(0, last-start), sent, start > 0
}

// coordinatorUsage returns the CPU time that the coordinator process has used since its start, in seconds, and its resident memory
// in bytes.
func (f *fleet) coordinatorUsage() (cpuSeconds float64, memoryBytes int, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.coordinator.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // the command name, in parentheses, may contain blanks
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentPagesField {
		return 0, 0, errProcessStat
	}
	userTicks, userErr := strconv.ParseFloat(fields[userTimeField], 64)
	systemTicks, systemErr := strconv.ParseFloat(fields[systemTimeField], 64)
	pages, pagesErr := strconv.Atoi(fields[residentPagesField])
	if err := errors.Join(userErr, systemErr, pagesErr); err != nil {
		return 0, 0, fmt.Errorf("%w: %w", errProcessStat, err)
	}
	return (userTicks + systemTicks) / clockTicksPerSecond, pages * os.Getpagesize(), nil
}

// storeBytes returns the total size in bytes of the files of the coordinator's store.
func (f *fleet) storeBytes() (bytes int64) {
	names, _ := filepath.Glob(filepath.Join(f.dir, stateFolderName, "store", "*")) // the pattern is valid
	for _, name := range names {
		if info, err := os.Stat(name); err == nil { // the coordinator may have removed the file meanwhile
			bytes += info.Size()
		}
	}
	return bytes
}
