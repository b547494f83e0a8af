package eventloop

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// persistingMachine persists a record for each command "key=value", deletes the record for a command "key", and keeps the
// reports of the driver.
type persistingMachine struct {
	observable
	batch   uint64
	reports []string
}

func newPersistingMachine() *persistingMachine {
	m := &persistingMachine{}
	m.init()
	return m
}

func (m *persistingMachine) Step(_ statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.Broadcast()
	var mutations []statemachine.Mutation
	for _, input := range in {
		switch input.Kind {
		case statemachine.OperatorCommand:
			key, value, _ := strings.Cut(input.Text, "=")
			mutation := statemachine.Mutation{Key: key}
			if value != "" {
				mutation.Value = []byte(value)
			}
			mutations = append(mutations, mutation)
		case statemachine.Persisted, statemachine.PersistFailed:
			m.reports = append(m.reports, reportText(input))
		}
	}
	if len(mutations) > 0 {
		m.batch++
		out.Persist(mutations, m.batch)
	}
}

// reportText formats a report of the persister as one line.
func reportText(input statemachine.Input) string {
	if input.Kind == statemachine.Persisted {
		return fmt.Sprint("persisted ", input.Batch)
	}
	return "failed: " + input.Text
}

// lastReportHasLocked reports whether the last report contains a text; the caller holds mu.
func (m *persistingMachine) lastReportHasLocked(text string) bool {
	return len(m.reports) > 0 && strings.Contains(m.reports[len(m.reports)-1], text)
}

// awaitReport waits until the last report contains a text.
func (m *persistingMachine) awaitReport(t *testing.T, text string) {
	t.Helper()
	m.await(t, fmt.Sprintf("report %q", text), func() bool { return m.lastReportHasLocked(text) })
}

// faultyFolder is an in-memory folder in which all operations of one kind can be made to fail.
type faultyFolder struct {
	*disk.Memory
	mu     sync.Mutex
	faulty disk.OpKind // the kind of operation that fails; "": none
}

func newFaultyFolder() *faultyFolder {
	f := &faultyFolder{Memory: disk.NewMemory()}
	f.Before = func(operation disk.Op) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if operation.Kind == f.faulty {
			return errors.New("the disk fails")
		}
		return nil
	}
	return f
}

func (f *faultyFolder) fail(kind disk.OpKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty = kind
}

func openStore(t *testing.T, folder *faultyFolder) *store.Store {
	t.Helper()
	opened, _, err := store.Open(store.Options{Folder: folder.Memory})
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// recordsAfterCrash returns the records that are left after a crash that loses all unsynced data.
func recordsAfterCrash(t *testing.T, folder *faultyFolder) string {
	t.Helper()
	found, err := store.Check(folder.Crash(func() bool { return false }))
	if err != nil || !found.Intact {
		t.Fatalf("the store after the crash is not intact: %v, error %v", found, err)
	}
	var records []string
	found.Each(func(key string, value []byte) { records = append(records, key+"="+string(value)) })
	return strings.Join(records, " ")
}

// The disk is full, has space again, and then a sync fails. The machine is notified of each of these and is never blocked,
// and everything that was reported as persisted is found at the next start.
func TestPersistenceSurvivesFullDiskAndEndsAtFailedSync(t *testing.T) {
	folder := newFaultyFolder()
	opened := openStore(t, folder)
	machine := newPersistingMachine()
	loop, err := Start(context.Background(), Bootstrap{Machine: machine, Store: opened})
	if err != nil {
		t.Fatal(err)
	}
	loop.SendCommand("a=1")
	machine.awaitReport(t, "persisted 1")
	folder.fail("append")
	loop.SendCommand("a=2")
	machine.awaitReport(t, "failed: write rejected: the disk fails")
	loop.SendCommand("b=1")
	loop.SendCommand("c=1")
	folder.fail("")
	machine.awaitReport(t, "persisted ")
	machine.await(t, "all queued mutations are persisted", func() bool {
		durable, written := opened.Durable()
		_, found := opened.Get("c")
		return durable == written && found && machine.lastReportHasLocked(fmt.Sprint("persisted ", machine.batch))
	})
	folder.fail("sync")
	loop.SendCommand("a")
	machine.awaitReport(t, "failed: the store accepts no more writes")
	folder.fail("")
	loop.SendCommand("d=1")
	loop.Stop()
	if err := loop.Wait(); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); !errors.Is(err, store.ErrBroken) {
		t.Errorf("close after a failed sync: error %v, want %v", err, store.ErrBroken)
	}
	if got := recordsAfterCrash(t, folder); got != "a=2 b=1 c=1" {
		t.Errorf("records after the crash are %q", got)
	}
}

// Mutations that are queued when the loop ends are still persisted.
func TestPersisterCommitsQueueAtEnd(t *testing.T) {
	folder := newFaultyFolder()
	opened := openStore(t, folder)
	var reports []string
	writer := newPersister(opened, func(input statemachine.Input) { reports = append(reports, reportText(input)) })
	writer.enqueue([]statemachine.Mutation{{Key: "a", Value: []byte("1")}}, 1)
	writer.enqueue([]statemachine.Mutation{{Key: "b", Value: []byte("2")}}, 2)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	writer.run(ended)
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(reports, ", "); got != "persisted 2" {
		t.Errorf("reports are %q", got)
	}
	if got := recordsAfterCrash(t, folder); got != "a=1 b=2" {
		t.Errorf("records after the crash are %q", got)
	}
}

// A rejected commit is retried after a fixed delay, together with mutations that were queued since.
func TestPersisterRetriesRefusedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := newFaultyFolder()
		opened := openStore(t, folder)
		reports := make(chan string, 10)
		writer := newPersister(opened, func(input statemachine.Input) { reports <- reportText(input) })
		ctx, cancel := context.WithCancel(t.Context())
		var background sync.WaitGroup
		background.Go(func() { writer.run(ctx) })
		folder.fail("append")
		writer.enqueue([]statemachine.Mutation{{Key: "a", Value: []byte("1")}}, 1)
		if got := <-reports; !strings.HasPrefix(got, "failed: ") {
			t.Errorf("the first report is %q", got)
		}
		refused := time.Now()
		folder.fail("")
		writer.enqueue([]statemachine.Mutation{{Key: "b", Value: []byte("2")}}, 2)
		if got := <-reports; got != "persisted 2" {
			t.Errorf("the second report is %q", got)
		}
		if waited := time.Since(refused); waited != commitRetryDelay {
			t.Errorf("retried after %v, want %v", waited, commitRetryDelay)
		}
		cancel()
		background.Wait()
		if err := opened.Close(); err != nil {
			t.Error(err)
		}
	})
}

// A queue overflow ends persistence: no later batch may be persisted without the one that did not fit.
func TestPersisterStopsWhenQueueOverflows(t *testing.T) {
	folder := newFaultyFolder()
	opened := openStore(t, folder)
	var reports []string
	writer := newPersister(opened, func(input statemachine.Input) { reports = append(reports, reportText(input)) })
	writer.enqueue([]statemachine.Mutation{{Key: "big", Value: make([]byte, maxQueuedBytes)}}, 1)
	writer.enqueue([]statemachine.Mutation{{Key: "small", Value: []byte("1")}}, 2)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	writer.run(ended)
	writer.enqueue([]statemachine.Mutation{{Key: "late", Value: []byte("1")}}, 3)
	if want := "failed: " + errQueueFull.Error(); len(reports) != 1 || reports[0] != want {
		t.Errorf("reports are %q, want only %q", reports, want)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	if got := recordsAfterCrash(t, folder); got != "" {
		t.Errorf("records after the crash are %q, want none", got)
	}
}
