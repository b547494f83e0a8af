// Package trace is the record of a run: what passed between coordinators, proxies, backends and the list service, one record a
// line. The fakes, the emulator and the simulator write it, and the invariant checker and the reports read it.
//
// A line is the time in seconds, the kind and then fields as key=value, separated by blanks. Names hold no blanks.
package trace

// Kinds of records, with the fields that each uses. The values are those of stored traces.
const (
	CoordinatorStarted = "boot"    // Party: a coordinator whose process was started
	ProcessKilled      = "kill"    // Party: a coordinator, proxy or backend whose process was ended
	ProxyJoined        = "join"    // Party: a proxy, Coordinator: the one that welcomed it; Zone
	ProxyLeft          = "leave"   // Party: a proxy, Coordinator: the one to which it lost its stream
	PushSent           = "push"    // Party: a proxy, Coordinator, Nonce, Count: entries queued behind the push, Text: operations
	PushApplied        = "apply"   // Party: a proxy, Coordinator, Nonce, Text: operations, when they took effect
	EndpointsDelivered = "list"    // Coordinator: the receiver, Count: version, Text: kind and endpoints
	EndpointsRequested = "ask"     // Coordinator: it asked the list service for changes or for the whole list
	AttemptSent        = "try"     // Party: a proxy, Coordinator: the one it subscribes to, Backend, RPCID, Method, Count: number of the attempt, Text: reason for a retry
	EffectExecuted     = "run"     // Backend: it began the effect of the RPC; RPCID, Method, Text: idempotency key if there is one
	RPCFinished        = "end"     // Party: a proxy, RPCID, Method, Text: ok, pushed back or aborted, Value: seconds since its arrival
	BackendStarted     = "start"   // Backend: its process started cold; Value: its full capacity, RPCs a second
	BackendCollapsed   = "fall"    // Backend: it collapsed under load while cold, Text: who sent the load
	BackendStopped     = "gone"    // Backend: its process ended
	LinkCut            = "cut"     // Party: a proxy or the list service, Coordinator: nothing passes between them
	LinkRestored       = "heal"    // Party: a proxy or the list service, Coordinator: the link between them works again
	ProcessPaused      = "stall"   // Party: a coordinator or proxy whose process is not scheduled, Value: for how many seconds
	FaultInjected      = "trouble" // Text: the step of the scenario, Value: for how many seconds
	ScheduleDelay      = "late"    // Party or Backend: an emulated one, Value: seconds that it was behind schedule, the most in the last second
	BackendSampled     = "glance"  // Backend, Value: capacity, RPCs a second, Count: RPCs queued, Text: busy share of its cores
	LoadOffered        = "offer"   // Backend, Value: its capacity now, Count: RPCs that arrived in the window; only near the limit
)
