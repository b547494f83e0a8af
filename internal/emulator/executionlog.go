package emulator

// maxRepeatedExecutions is how many repeated executions are kept with their details.
const maxRepeatedExecutions = 1000

// ExecutionLog records which backends executed an RPC, whatever path it came by, and so finds repeated executions.
type ExecutionLog struct {
	first       map[uint64]Execution // by RPC ID
	Repeated    []RepeatedExecution  // at most 1000 of them
	RepeatCount int                  // all of them
}

// Execution is where and when an RPC was executed.
type Execution struct {
	Backend uint32
	At      Seconds
}

// RepeatedExecution is an RPC that was executed again.
type RepeatedExecution struct {
	RPC          uint64
	Method       int
	First, Again Execution
}

// Record records an execution.
func (l *ExecutionLog) Record(call RPC, backend uint32, now Seconds) {
	if l.first == nil {
		l.first = map[uint64]Execution{}
	}
	execution := Execution{backend, now}
	first, repeated := l.first[call.ID]
	if !repeated {
		l.first[call.ID] = execution
		return
	}
	l.RepeatCount++
	if len(l.Repeated) < maxRepeatedExecutions {
		l.Repeated = append(l.Repeated, RepeatedExecution{call.ID, call.Method, first, execution})
	}
}
