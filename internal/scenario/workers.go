package scenario

import (
	"runtime"
	"sync"
)

// startWorkers starts one worker goroutine per available core. They run jobs until the channel is closed; the caller waits for
// them.
func startWorkers[J any](workers *sync.WaitGroup, jobs <-chan J, run func(J)) {
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for job := range jobs {
				run(job)
			}
		}()
	}
}
