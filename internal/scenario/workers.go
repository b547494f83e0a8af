package scenario

import (
	"runtime"
	"sync"
)

// startWorkers starts a worker for each core; they run jobs until the channel is closed. The caller waits for them.
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
