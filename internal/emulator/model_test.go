package emulator

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// testConfig returns the configuration of a warm backend with a practically unlimited queue.
func testConfig(cores int, work Work) Config {
	return Config{Backend: 1, Cores: cores, Speed: 1, Work: []Work{work}, QueueLimit: 1 << 30, Seed: 7}
}

// connectedModel returns a model with an open connection 1.
func connectedModel(config Config) *Model {
	model := NewModel(config, 0)
	model.Connect(1, "")
	return model
}

// advanceUntil advances a model to a time, timer by timer, and returns the status of each reply and the number of executions,
// by RPC.
func advanceUntil(model *Model, until Seconds) (statuses map[uint64]Status, executions map[uint64]int) {
	statuses, executions = map[uint64]Status{}, map[uint64]int{}
	for {
		at := min(model.NextTimer(), until)
		for _, effect := range model.Advance(at) {
			switch effect := effect.(type) {
			case Reply:
				statuses[effect.ID] = effect.Status
			case Executed:
				executions[effect.RPC.ID]++
			}
		}
		if at >= until {
			return statuses, executions
		}
	}
}

// waitRun measures how long RPCs wait for a core.
type waitRun struct {
	model       *Model
	now         Seconds
	submittedAt []Seconds // by RPC
	executed    int       // RPCs
	waited      int       // RPCs that did not start at once
	totalWait   Seconds
}

// advance advances the model, and counts the executions that begin and their waits. Waits up to 1 ns are rounding errors.
func (r *waitRun) advance(now Seconds) {
	r.now = now
	for _, effect := range r.model.Advance(now) {
		execution, ok := effect.(Executed)
		if !ok {
			continue
		}
		r.executed++
		if wait := now - r.submittedAt[execution.RPC.ID]; wait > 1e-9 {
			r.totalWait += wait
			r.waited++
		}
	}
}

// measureWaits submits RPCs as a Poisson process at a load relative to the capacity, and returns the mean wait for a core and
// the share of RPCs that waited at all.
func measureWaits(config Config, load float64, count int) (mean, waited float64) {
	run := &waitRun{model: connectedModel(config), submittedAt: make([]Seconds, count)}
	random := NewRandom(3)
	rate := load * config.Capacity([]float64{1})
	for i := range count {
		next := run.now + random.Interarrival(rate)
		for run.model.NextTimer() <= next {
			run.advance(run.model.NextTimer())
		}
		run.advance(next)
		run.submittedAt[i] = next
		run.model.Submit(1, RPC{ID: uint64(i), TimeLeft: 1e9})
		run.advance(next)
	}
	return run.totalWait / float64(run.executed), float64(run.waited) / float64(run.executed)
}

// erlangC returns the probability of waiting in an M/M/c queue (the Erlang C formula).
func erlangC(cores int, load float64) float64 {
	offered := load * float64(cores)
	blocked := 1.0
	for k := 1; k <= cores; k++ {
		blocked = offered * blocked / (float64(k) + offered*blocked)
	}
	return blocked / (1 - load*(1-blocked))
}

// waitSamples returns the number of RPCs of a measurement of waits.
func waitSamples() int {
	if testing.Short() {
		return 100000
	}
	return 400000
}

// With exponentially distributed work, the share of RPCs that wait and the mean wait are those of an M/M/c queue.
func TestWaitsFollowErlangC(t *testing.T) {
	for _, cores := range []int{1, 4, 16} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			mean, waited := measureWaits(testConfig(cores, Work{Mean: 0.05}), load, waitSamples())
			chance := erlangC(cores, load)
			want := chance * 0.05 / (float64(cores) * (1 - load))
			if math.Abs(waited-chance) > 0.02 || math.Abs(mean-want) > 0.08*want {
				t.Errorf("%d cores at %.1f: %.3f wait, want %.3f; mean %.5f s, want %.5f", cores, load, waited, chance, mean, want)
			}
		}
	}
}

// With one core and any distribution of work, the mean wait is that of an M/G/1 queue (the Pollaczek-Khinchine formula).
func TestWaitsFollowPollaczekKhinchine(t *testing.T) {
	for _, text := range []string{"fixed", "exponential", "lognormal:1.5", "pareto:3.5"} {
		work, err := ParseWork(text, 0.02)
		if err != nil {
			t.Fatal(err)
		}
		for _, load := range []float64{0.4, 0.8} {
			mean, _ := measureWaits(testConfig(1, work), load, waitSamples())
			rate := load / 0.02
			want := rate * work.SecondMoment() / (2 * (1 - load))
			if math.Abs(mean-want) > 0.12*want {
				t.Errorf("%s at %.1f: mean wait %.5f s, want %.5f", text, load, mean, want)
			}
		}
	}
}

// workRun executes one RPC and computes the work done on it independently of the model, by numerical integration.
type workRun struct {
	model    *Model
	now      Seconds
	slowdown float64
	hangs    bool
	workDone Seconds // by integration
	finished bool    // the model has replied
}

func (r *workRun) collect(effects []Effect) {
	for _, effect := range effects {
		if _, ok := effect.(Reply); ok {
			r.finished = true
		}
	}
}

// advance advances the model, and integrates the core's speed over the same time in 2000 steps.
func (r *workRun) advance(until Seconds) {
	const steps = 2000
	length := (until - r.now) / steps
	for i := range steps {
		at := r.now + length*(float64(i)+0.5)
		if !r.hangs && r.workDone < 1 {
			r.workDone += r.model.config.Speed * r.model.WarmupFactor(at) / r.slowdown * length
		}
	}
	r.collect(r.model.Advance(until))
	r.now = until
}

// changeFault randomly changes the slowdown, starts or heals a hang, or does nothing.
func (r *workRun) changeFault(rapidT *rapid.T) error {
	command := ""
	switch rapid.IntRange(0, 3).Draw(rapidT, "fault") {
	case 0:
		r.slowdown = rapid.Float64Range(0.5, 5).Draw(rapidT, "slowdown")
		command = fmt.Sprint("slow ", r.slowdown)
	case 1:
		command = "hang"
		if r.hangs {
			command = "heal hang"
		}
		r.hangs = !r.hangs
	default:
		return nil
	}
	return r.model.command(command)
}

// An RPC is done when the integral of the core's speed over time reaches its work, however warm-up, slowdowns and hangs change
// the speed meanwhile.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		config := testConfig(1, Work{Mean: 1, Family: Constant})
		config.StartsCold = true
		config.ColdSpeed = rapid.Float64Range(0.05, 1).Draw(rapidT, "cold speed")
		config.WarmupTime = rapid.Float64Range(0.1, 20).Draw(rapidT, "warm-up time")
		config.Speed = rapid.Float64Range(0.1, 5).Draw(rapidT, "speed")
		run := &workRun{model: connectedModel(config), slowdown: 1}
		run.model.Submit(1, RPC{ID: 1, TimeLeft: 1e9})
		for range 30 {
			run.advance(run.now + rapid.Float64Range(0.001, 1).Draw(rapidT, "step"))
			if run.finished != (run.workDone >= 1) && math.Abs(run.workDone-1) > 1e-3 {
				rapidT.Fatalf("at %.3f s: done %.4f, finished %v", run.now, run.workDone, run.finished)
			}
			if run.finished {
				return
			}
			if err := run.changeFault(rapidT); err != nil {
				rapidT.Fatal(err)
			}
			run.collect(run.model.Advance(run.now))
		}
	})
}

// collapsesUnderLoad reports whether a backend of an age in seconds collapses under a load relative to its overload bound. The
// RPCs arrive within 20 ms.
func collapsesUnderLoad(age, load float64) bool {
	model := connectedModel(Config{
		Backend: 1, Cores: 4, Speed: 1, Work: []Work{{Mean: 0.05, Family: Constant}}, QueueLimit: 1e6,
		StartsCold: true, ColdSpeed: 0.25, WarmupTime: 10, OverloadMultiple: 2.5, OverloadWindow: 1, Seed: 1,
	})
	bound := 2.5*model.WarmupFactor(age)*80 + 2 // RPCs in a window: overloadSlackRPCs above OverloadMultiple times the capacity
	collapsed := false
	for i := range int(bound * load) {
		at := age + float64(i)/(bound*load)*0.02
		for _, effect := range model.Advance(at) {
			_, isCollapse := effect.(Collapsed)
			collapsed = collapsed || isCollapse
		}
		model.Submit(1, RPC{ID: uint64(i + 1), TimeLeft: 10})
	}
	model.Advance(age + 1)
	return collapsed || model.HasCollapsed()
}

// A backend that is warming up collapses slightly above its overload bound and not slightly below it; a warm one never does.
func TestOverloadBound(t *testing.T) {
	for _, age := range []float64{0, 5, 9, 30} {
		for _, load := range []float64{0.9, 1.15} {
			want := load > 1 && age < 10
			if got := collapsesUnderLoad(age, load); got != want {
				t.Errorf("at age %v s with %.2f of the bound: collapsed %v", age, load, got)
			}
		}
	}
}

// modelWithThreeRPCs returns a model with one core, RPC 1 of connection 1 running, and RPC 2 of connection 1 and RPC 3 of
// connection 2 queued. Each takes a second.
func modelWithThreeRPCs(policy CancelPolicy, timeLeft [3]Seconds) *Model {
	config := testConfig(1, Work{Mean: 1, Family: Constant})
	config.CancelPolicy = policy
	model := connectedModel(config)
	model.Connect(2, "")
	for i, conn := range []ConnID{1, 1, 2} {
		model.Submit(conn, RPC{ID: uint64(i + 1), TimeLeft: timeLeft[i]})
	}
	return model
}

// RPCs 1 and 2 pass their deadlines while RPC 1 runs: the cancel policy decides whether RPC 2 is executed and RPC 1 answered.
func TestCancelByDeadline(t *testing.T) {
	for policy, executed := range map[CancelPolicy][3]bool{
		IgnoreCancel: {true, true, true}, DropQueued: {true, false, true}, CancelRunning: {true, false, true},
	} {
		statuses, executions := advanceUntil(modelWithThreeRPCs(policy, [3]Seconds{0.5, 0.4, 9}), 20)
		for i, want := range executed {
			if (executions[uint64(i+1)] == 1) != want {
				t.Errorf("policy %d: RPC %d was executed %d times", policy, i+1, executions[uint64(i+1)])
			}
		}
		_, answered := statuses[1]
		if answered != (policy != CancelRunning) || statuses[3] != StatusOK {
			t.Errorf("policy %d: got the replies %v", policy, statuses)
		}
	}
}

// After the connection of RPCs 1 and 2 is closed, the cancel policy decides how many of them delay the reply to RPC 3.
func TestCancelByDisconnect(t *testing.T) {
	for policy, finishedAt := range map[CancelPolicy]Seconds{IgnoreCancel: 3, DropQueued: 2, CancelRunning: 1} {
		model := modelWithThreeRPCs(policy, [3]Seconds{9, 9, 9})
		model.Disconnect(1)
		statuses, _ := advanceUntil(model, finishedAt-0.01)
		if _, early := statuses[3]; early {
			t.Errorf("policy %d: RPC 3 was answered before %v s", policy, finishedAt)
		}
		if statuses, _ = advanceUntil(model, finishedAt+0.01); len(statuses) != 1 {
			t.Errorf("policy %d: RPC 3 was not answered at %v s: %v", policy, finishedAt, statuses)
		}
	}
}

func TestQueueLimit(t *testing.T) {
	config := testConfig(2, Work{Mean: 1, Family: Constant})
	config.QueueLimit = 3
	model := connectedModel(config)
	for i := range 8 {
		model.Submit(1, RPC{ID: uint64(i + 1), TimeLeft: 9})
	}
	inFlight, queued, coreUsage := model.Load()
	statuses, _ := advanceUntil(model, 0.1)
	rejected := 0
	for _, status := range statuses {
		if status == StatusRejected {
			rejected++
		}
	}
	if inFlight != 5 || queued != 3 || coreUsage != 1 || rejected != 3 {
		t.Errorf("%d in flight, want 5; %d queued, want 3; core usage %v, want 1; %d rejected, want 3: %v", inFlight, queued, coreUsage, rejected, statuses)
	}
}

func TestProbeLimit(t *testing.T) {
	config := testConfig(2, Work{Mean: 1, Family: Constant})
	config.QueueLimit, config.ProbeLimit, config.ProbeWork = 3, 1, 0.5
	model := connectedModel(config)
	model.Probe(1, 1)
	model.Probe(1, 2)
	statuses := map[uint64]Status{}
	advance := func(now Seconds) {
		for _, effect := range model.Advance(now) {
			if reply, ok := effect.(ProbeReply); ok {
				statuses[reply.ID] = reply.Status
			}
		}
	}
	advance(0.1)
	if len(statuses) != 1 || statuses[2] != StatusRejected {
		t.Error("want only the second of two probes rejected so far:", statuses)
	}
	advance(0.6)
	if statuses[1] != StatusOK || len(statuses) != 2 {
		t.Error("want the first probe answered with OK:", statuses)
	}
}

// reportedLoads returns the loads in the replies to 20 RPCs of 0.1 s that arrived at a backend with one core at once.
func reportedLoads(reports bool, delay Seconds, noise float64) []float64 {
	config := testConfig(1, Work{Mean: 0.1, Family: Constant})
	config.ReportsLoad, config.ReportDelay, config.ReportNoise = reports, delay, noise
	model := connectedModel(config)
	for i := range uint64(20) {
		model.Submit(1, RPC{ID: i, TimeLeft: 100})
	}
	var loads []float64
	for now := 0.0; now < 3; now += 0.05 {
		for _, effect := range model.Advance(now) {
			if reply, ok := effect.(Reply); ok {
				loads = append(loads, reply.Load)
			}
		}
	}
	return loads
}

// Load reports have the configured delay and noise. The replies of a backend without reports have a negative load.
func TestLoadReports(t *testing.T) {
	if loads := reportedLoads(false, 0, 0); len(loads) != 20 || loads[0] >= 0 {
		t.Errorf("a backend without load reports reported %v", loads)
	}
	exact := reportedLoads(true, 0, 0)
	for k, load := range exact {
		if load != float64(19-k) {
			t.Fatalf("reply %d reported %v", k+1, load)
		}
	}
	delayed := reportedLoads(true, 0.5, 0)
	for k := 8; k < 20; k++ { // the backend sends five replies in half a second
		if delayed[k] < exact[k]+4 || delayed[k] > exact[k]+6 {
			t.Errorf("reply %d reported %v; the load was %v then and %v half a second before", k+1, delayed[k], exact[k], exact[k-5])
		}
	}
	difference, unchanged := 0.0, 0
	for k, load := range reportedLoads(true, 0, 0.5) {
		difference += load - exact[k]
		if load == exact[k] {
			unchanged++
		}
	}
	if unchanged > 2 || math.Abs(difference) > 150 {
		t.Errorf("noise left %d of 20 loads as they were, and changed their sum of 190 by %.0f", unchanged, difference)
	}
}

// With a cache of two keys, an RPC of 1 s takes 0.25 s if its key is one of the two that were used last.
func TestCacheSavesWork(t *testing.T) {
	config := testConfig(4, Work{Mean: 1, Family: Constant})
	config.CacheSize, config.CacheSavings = 2, 0.75
	model := connectedModel(config)
	startedAt := 0.0
	for i, access := range []struct {
		key   uint64
		takes Seconds
	}{{1, 1}, {1, 0.25}, {2, 1}, {1, 0.25}, {3, 1}, {2, 1}, {1, 1}, {0, 1}} {
		model.Submit(1, RPC{ID: uint64(i + 1), CacheKey: access.key, TimeLeft: 9})
		if statuses, _ := advanceUntil(model, startedAt+access.takes-0.01); len(statuses) > 0 {
			t.Errorf("RPC %d with key %d: reply before %v s", i+1, access.key, access.takes)
		}
		if statuses, _ := advanceUntil(model, startedAt+access.takes+0.01); len(statuses) != 1 {
			t.Errorf("RPC %d with key %d: no reply after %v s", i+1, access.key, access.takes)
		}
		startedAt += access.takes + 0.01
	}
}
