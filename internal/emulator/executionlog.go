package emulator

// maxRepeatedExecutions is the number of repeated executions that are kept with their details.
const maxRepeatedExecutions = 1000

// ExecutionLog detects repeated executions: it records which backends executed each RPC, whichever client, proxy or attempt
// the RPC came from.
type ExecutionLog struct {
	first       map[uint64]Execution // by RPC ID
	Repeated    []RepeatedExecution  // the first maxRepeatedExecutions
	RepeatCount int                  // number of all repeated executions, including those that are not in Repeated
}

// Execution is where and when an RPC was executed.
type Execution struct {
	Backend uint32
	At      Seconds
}

// RepeatedExecution is an RPC that was executed more than once. Each execution after the first has one.
type RepeatedExecution struct {
	RPC          uint64
	Method       int
	First, Again Execution
}

// Record records the execution of an RPC by a backend.
func (l *ExecutionLog) Record(rpc RPC, backend uint32, now Seconds) {
	if l.first == nil {
		l.first = map[uint64]Execution{}
	}
	execution := Execution{backend, now}
	first, repeated := l.first[rpc.ID]
	if !repeated {
		l.first[rpc.ID] = execution
		return
	}
	l.RepeatCount++
	if len(l.Repeated) < maxRepeatedExecutions {
		l.Repeated = append(l.Repeated, RepeatedExecution{rpc.ID, rpc.Method, first, execution})
	}
}
