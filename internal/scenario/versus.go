package scenario

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"gingerfork/internal/optimum"
)

// Way is how proxies get their tables in a run.
type TableSource uint8

// The ways.
const (
	Coordinated  TableSource = iota // by coordinators, as in service
	AllBackends                     // one table of all servers that the list shows
	FrozenTables                    // the coordinators' tables as they were Settled seconds after the start
	ways
)

func (w TableSource) String() string {
	return [...]string{"coordinator", "all servers", "frozen", "?"}[min(w, ways)]
}

// Settled is when the tables of FrozenStart are frozen, in seconds after the start.
const FreezeDelay = 4.0

// Versus is a day played in each way on the same seed, beside what could have been reached.
type Comparison struct {
	Scenario *Scenario
	Results  [3]Result
	Bound    optimum.Bound
}

// Compare plays days in virtual time in each way, on so many cores; done is called with each day in order.
func Compare(ctx context.Context, days []*Scenario, done func(Comparison) error) error {
	all := make([]Comparison, len(days))
	errs := make([]error, len(days)*int(ways))
	ready := make([]chan struct{}, len(days))
	type job struct {
		day int
		way TableSource
	}
	jobs := make(chan job)
	left := make([]sync.WaitGroup, len(days))
	var work sync.WaitGroup
	for i := range days {
		ready[i] = make(chan struct{})
		all[i].Scenario = days[i]
		left[i].Add(int(ways))
		work.Add(1)
		go func() {
			defer work.Done()
			left[i].Wait()
			close(ready[i])
		}()
	}
	for range runtime.GOMAXPROCS(0) {
		work.Add(1)
		go func() {
			defer work.Done()
			for j := range jobs {
				r, err := PlayVirtual(days[j.day], Options{Tables: j.way, SampleTruth: j.way == Coordinated})
				if err == nil && j.way == Coordinated {
					all[j.day].Bound, err = days[j.day].Bound(r.Truth, r.Records)
				}
				if err != nil {
					errs[j.day*int(ways)+int(j.way)] = fmt.Errorf("play %s, %v: %w", days[j.day].Name, j.way, err)
				}
				r.Records = nil // some hundred thousand each
				all[j.day].Results[j.way] = r
				left[j.day].Done()
			}
		}()
	}
	work.Add(1)
	go func() {
		defer work.Done()
		defer close(jobs)
		for i := range days {
			for w := range ways {
				if ctx.Err() != nil {
					errs[i*int(ways)+int(w)] = ctx.Err()
					left[i].Done()
					continue
				}
				jobs <- job{i, w}
			}
		}
	}()
	var first error
	for i := range days {
		<-ready[i]
		for _, err := range errs[i*int(ways) : (i+1)*int(ways)] {
			if first == nil {
				first = err
			}
		}
		if first == nil {
			first = done(all[i])
		}
	}
	work.Wait()
	return first
}
