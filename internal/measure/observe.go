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
	pollInterval  = 20 * time.Millisecond
	drainWait     = 700 * time.Millisecond // from when a backend drains until the outcome is read
	reopenWait    = 100 * time.Millisecond // from when a backend is open again until the next one drains
	ticksPerSec   = 100                    // of the CPU times in /proc
	userField     = 11                     // fields of /proc/PID/stat after the name of the command
	systemField   = 12
	residentField = 21
)

var errStat = errors.New("the process's figures can't be read")

// joined waits until a number of proxies have applied a table, and returns the seconds from the first join until then.
func (f *fleet) joined(proxies int, timeout time.Duration) (seconds float64, err error) {
	joined := 0.0 // when the first proxy did
	applied, last := f.waitForTables(proxies, timeout, func(record trace.Record) bool {
		if record.Kind == trace.ProxyJoined && joined == 0 {
			joined = record.Time
		}
		return true
	})
	if applied < proxies {
		return 0, fmt.Errorf("%d of %d proxies have a table after %v", applied, proxies, timeout)
	}
	return last - joined, nil
}

// restart kills the coordinator, starts it again, and returns the seconds from its start until a number of proxies have applied a
// table.
func (f *fleet) restart(proxies int, timeout time.Duration) (seconds float64, err error) {
	_ = f.cmd.Process.Kill() // fails if it has exited already
	<-f.exited
	f.takeRecords()
	start := f.clock.Now()
	if err := f.startCoordinator(); err != nil {
		return 0, err
	}
	applied, last := f.waitForTables(proxies, timeout, func(record trace.Record) bool { return record.Time > start })
	if applied < proxies {
		return 0, fmt.Errorf("%d of %d proxies have a table %v after a restart", applied, proxies, timeout)
	}
	return last - start, nil
}

// waitForTables waits until a number of proxies have applied a table, or until the timeout. It returns how many have, and when the
// last one did. Records for which counts is false are ignored.
func (f *fleet) waitForTables(proxies int, timeout time.Duration, counts func(trace.Record) bool) (applied int, last float64) {
	parties := map[string]bool{}
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		for _, record := range f.takeRecords() {
			if counts(record) && record.Kind == trace.PushApplied && !parties[record.Party] {
				parties[record.Party] = true
				last = max(last, record.Time)
			}
		}
		if len(parties) >= proxies || time.Now().After(deadline) {
			return len(parties), last
		}
	}
}

// drains drains backends one after another. It returns, sorted, the seconds from when the coordinator was notified until the last
// proxy that had the backend had applied its exclusion, after which none can send there; and how many RPCs were sent there in
// between.
func (f *fleet) drains(count int) (latencies []float64, sent int) {
	for backend := 1; backend <= count; backend++ {
		f.takeRecords()
		f.endpoints.SendCommand(fmt.Sprintf("state %d draining", backend))
		time.Sleep(drainWait)
		latency, sentMeanwhile, notified := drainOutcome(f.takeRecords(), backend)
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

// drainOutcome reads from a trace how long the drain of a backend took, and how many RPCs were sent there meanwhile.
func drainOutcome(records []trace.Record, backend int) (latency float64, sent int, notified bool) {
	start, last := 0.0, 0.0
	exclusion := fmt.Sprint("withdraw ", backend) // as traces have it
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

// used returns what the coordinator process has used so far: seconds of CPU, and its resident memory in bytes.
func (f *fleet) used() (cpu float64, memory int, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // the name of the command, in parentheses, may have blanks
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentField {
		return 0, 0, errStat
	}
	user, userErr := strconv.ParseFloat(fields[userField], 64)
	system, systemErr := strconv.ParseFloat(fields[systemField], 64)
	pages, pagesErr := strconv.Atoi(fields[residentField])
	if err := errors.Join(userErr, systemErr, pagesErr); err != nil {
		return 0, 0, fmt.Errorf("%w: %w", errStat, err)
	}
	return (user + system) / ticksPerSec, pages * os.Getpagesize(), nil
}

// storeBytes returns the size of the files of the coordinator's store.
func (f *fleet) storeBytes() (bytes int64) {
	names, _ := filepath.Glob(filepath.Join(f.dir, stateName, "store", "*")) // the pattern is valid
	for _, name := range names {
		if info, err := os.Stat(name); err == nil { // it may have been replaced meanwhile
			bytes += info.Size()
		}
	}
	return bytes
}
