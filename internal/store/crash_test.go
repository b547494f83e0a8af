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

// forEachAnswer calls do once for each possible sequence of results of the function ask that it passes to do, however often
// do calls ask, but at most maxCalls times. It returns the number of calls.
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
		// The next sequence, as in a binary counter: the last false becomes true, and the answers after it start over.
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

// openForCrash opens a store whose log is compacted very early.
func openForCrash(folder *disk.Memory) (*Store, error) {
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 600, ID: testStoreID})
	return s, err
}

// runHistory writes batches, syncs, compacts and writes more batches, and records them in expected. Operations after a
// failure of the folder have no effect.
func runHistory(folder *disk.Memory, expected *model) {
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

// TestCrashAnywhere crashes after every single operation, for every combination of unsynced changes that survive, up to 200
// combinations per operation. For an eighth of these crashes it also crashes after every operation of the recovery. No
// acknowledged batch may be lost, and none may be found in part.
func TestCrashAnywhere(t *testing.T) {
	complete := disk.NewMemory()
	runHistory(complete, newModel())
	operations := complete.Ops()
	crashes, outcome := 0, 0
	for operation := range operations + 1 {
		crashes += forEachAnswer(200, func(survives func() bool) {
			folder, expected := disk.NewMemory(), newModel()
			folder.Before = crashAfter(operation)
			runHistory(folder, expected)
			after := folder.Crash(survives)
			if outcome%8 == 0 {
				checkCrashesOfRecovery(t, operation, after, expected)
			}
			checkRecovery(t, operation, after, *expected)
			outcome++
		})
	}
	t.Logf("%d operations, %d crashes, an eighth of them with a crash at each operation of the recovery", operations, crashes)
	if operations < 25 || crashes < 1000 {
		t.Errorf("%d operations, %d crashes: the history is too short, want 25 and 1000", operations, crashes)
	}
}

// checkRecovery opens the folder left by a crash after an operation, checks its contents and writes to it.
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

// checkCrashesOfRecovery crashes after each operation of a recovery and of the commit after it. Which unsynced changes
// survive follows a pattern that differs each time.
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

// expectedAfterRecovery returns the model of what may be found after a crash during or after a recovery. store is nil if it
// could not be opened. Otherwise the batch that was written to it may be found after the recovered batches.
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

// TestCrashBySeed runs longer random histories in which unsynced sectors are lost or kept at random.
func TestCrashBySeed(t *testing.T) {
	rapid.Check(t, checkCrashBySeed)
}

// checkCrashBySeed runs three random histories on the same store, each ended by a crash, and checks what is found.
func checkCrashBySeed(test *rapid.T) {
	folder, expected := disk.NewMemory(), newModel()
	for range 3 {
		folder.Before = crashAfter(rapid.IntRange(0, 60).Draw(test, "operations"))
		runRandomHistory(test, folder, expected)
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

// runRandomHistory checks the recovered contents and writes batches of random sizes. It ends at the first write that
// fails.
func runRandomHistory(test *rapid.T, folder *disk.Memory, expected *model) {
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
