package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/internal/disk"
)

// forEachAnswer calls do with each sequence of answers to its yes-or-no questions, however many it asks, up to a number of
// calls. It returns the number of calls.
func forEachAnswer(maxCalls int, do func(ask func() bool)) (calls int) {
	var answers []bool
	for {
		asked := 0
		do(func() bool {
			if asked == len(answers) {
				answers = append(answers, false)
			}
			asked++
			return answers[asked-1]
		})
		calls++
		// The next sequence, as in a binary counter: the last "no" becomes a "yes", what follows it is asked anew.
		answers = answers[:asked]
		for len(answers) > 0 && answers[len(answers)-1] {
			answers = answers[:len(answers)-1]
		}
		if len(answers) == 0 || calls >= maxCalls {
			return calls
		}
		answers[len(answers)-1] = true
	}
}

func openForCrash(folder *disk.Memory) (*Store, error) {
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 600, ID: testStoreID})
	return s, err
}

// playHistory writes batches, syncs, compacts and writes more batches. It ends where the folder fails.
func playHistory(folder *disk.Memory, expected *model) {
	store, err := openForCrash(folder)
	if err != nil {
		return
	}
	write := func(sync bool, words ...string) {
		changes := batch(words...)
		sequence, err := store.Write(changes)
		if err != nil {
			return
		}
		expected.write(changes)
		if sync && store.SyncTo(sequence) == nil {
			expected.acknowledged = sequence
		}
	}
	write(true, "drain/1=told", "list/1=a")
	write(false, "proxy/1="+strings.Repeat("x", 1600))
	write(true, "drain/2=told", "drain/1")
	write(false, "proxy/1="+strings.Repeat("y", 1100))
	for more := true; more && err == nil; {
		more, err = store.Compact(true)
		write(false, "list/1="+strings.Repeat("b", 700))
	}
	write(true, "list/2=c", "proxy/1")
	write(false, "list/2=d")
}

// TestCrashAnywhere crashes after every single operation, in every combination of what was not synced being there or not,
// and for an eighth of these crashes after every operation of the recovery, too. No acknowledged batch is lost, and none
// is found in part.
func TestCrashAnywhere(t *testing.T) {
	complete := disk.NewMemory()
	playHistory(complete, newModel())
	operations := complete.Ops()
	crashes, outcome := 0, 0
	for operation := range operations + 1 {
		crashes += forEachAnswer(200, func(survives func() bool) {
			folder, expected := disk.NewMemory(), newModel()
			folder.Before = crashAfter(operation)
			playHistory(folder, expected)
			after := folder.Crash(survives)
			if outcome%8 == 0 {
				checkCrashesOfRecovery(t, operation, after, expected)
			}
			checkRecovery(t, operation, after, *expected)
			outcome++
		})
	}
	t.Logf("%d operations, %d crashes an eighth of them with a crash at each operation of the recovery", operations, crashes)
	if operations < 25 || crashes < 1000 {
		t.Errorf("%d operations, %d crashes: the history no longer reaches far", operations, crashes)
	}
}

// checkRecovery opens what a crash after an operation left, and writes to it.
func checkRecovery(t *testing.T, operation int, folder *disk.Memory, expected model) {
	t.Helper()
	s, err := openForCrash(folder)
	if err != nil {
		t.Fatalf("crash after operation %d: %v", operation, err)
	}
	if err := expected.check(s); err != nil {
		t.Fatalf("crash after operation %d: %v", operation, err)
	}
	if err := s.Commit(batch("more=1")); err != nil {
		t.Fatal(err)
	}
}

// checkCrashesOfRecovery crashes after each operation of a recovery and the commit after it, with what was not synced
// there or not by a pattern that differs each time.
func checkCrashesOfRecovery(t *testing.T, operation int, crashed *disk.Memory, expected *model) {
	t.Helper()
	for second := 0; ; second++ {
		folder, reached := crashed.Copy(), false
		crash := crashAfter(second)
		folder.Before = func(op disk.Op) error {
			err := crash(op)
			reached = reached || err != nil
			return err
		}
		store, err := openForCrash(folder)
		if err == nil && store.Commit(batch("recovered=1")) == nil {
			return
		}
		if !reached {
			t.Fatal(err)
		}
		pattern := operation + second
		found := folder.Crash(func() bool {
			pattern = pattern*5 + 1
			return pattern&8 != 0
		})
		checkRecovery(t, operation, found, expectedAfterRecovery(store, expected))
	}
}

// expectedAfterRecovery returns what may be found after a crash of a recovery. If the store was opened, the batch that was
// written to it may be there, after whatever was recovered.
func expectedAfterRecovery(store *Store, expected *model) model {
	if store == nil {
		return *expected
	}
	last := maps.Clone(expected.lastState())
	_, sequence := store.Durable()
	states := slices.Clone(expected.states[:sequence])
	if int(sequence) == len(expected.states) {
		states = append(states, last)
	}
	last = maps.Clone(contents(store))
	states = append(states[:sequence], last)
	delete(last, "recovered")
	if contents(store)["recovered"] != "" {
		states[sequence-1], states[sequence] = last, contents(store)
	}
	return model{states: states, acknowledged: expected.acknowledged}
}

// TestCrashBySeed plays longer histories by seed, with sectors lost and found at random.
func TestCrashBySeed(t *testing.T) {
	rapid.Check(t, checkCrashBySeed)
}

func checkCrashBySeed(test *rapid.T) {
	folder, expected := disk.NewMemory(), newModel()
	for range 3 {
		folder.Before = crashAfter(rapid.IntRange(0, 60).Draw(test, "operations"))
		playRandomHistory(test, folder, expected)
		folder = folder.Crash(func() bool { return rapid.Bool().Draw(test, "survives") })
	}
	store, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1500, ID: testStoreID})
	if err != nil {
		test.Fatal(err)
	}
	if err := expected.check(store); err != nil {
		test.Fatal(err)
	}
}

// playRandomHistory checks what was recovered and writes batches of random sizes. It ends where the folder fails.
func playRandomHistory(test *rapid.T, folder *disk.Memory, expected *model) {
	test.Helper()
	store, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1500, ID: testStoreID})
	if err != nil {
		return
	}
	if err := expected.check(store); err != nil {
		test.Fatal(err)
	}
	for i := range 20 {
		size := rapid.IntRange(0, 1500).Draw(test, "size")
		changes := batch(fmt.Sprintf("k%d=%s", i%5, strings.Repeat("v", size)))
		if _, err := store.Write(changes); err != nil {
			return
		}
		expected.write(changes)
		if i%3 == 0 && store.Sync() == nil {
			expected.acknowledged = uint64(len(expected.states) - 1)
		}
		_, _ = store.Compact(false)
	}
}
