// Package trace defines the format of a run's trace, a text file with one record per line: the events among coordinators,
// proxies, backends and the endpoint list service. The fakes, the emulator and the simulator write traces; the invariant checker
// and the reports read them.
//
// A line holds the time in seconds, the kind of the record and its fields as key=value, separated by spaces. Names contain no
// spaces.
package trace

// Kinds of records, each with the fields that it uses. Stored traces contain these strings.
const (
	CoordinatorStarted = "boot"    // Party: the coordinator whose process was started
	ProcessKilled      = "kill"    // Party: the coordinator or proxy whose process was killed
	ProxyJoined        = "join"    // Party: the proxy; Coordinator: the one that accepted its stream; Zone: the proxy's
	ProxyLeft          = "leave"   // Party: the proxy; Coordinator: the other end of the stream that it lost; Text: reason
	PushSent           = "push"    // Party: the proxy that received the push; Coordinator; Nonce; Count: entries queued behind the push; Value: size in operations, entries and admission levels
	PushApplied        = "apply"   // Party: the proxy, at the time when the operations took effect; Coordinator; Nonce; Text: operations
	EndpointsDelivered = "list"    // Coordinator: the receiver, empty: what the endpoint list service publishes; Count: version; Text: kind of the update and endpoints
	EndpointsRequested = "ask"     // Coordinator: the one that asked the endpoint list service for changes or for the full list
	AttemptSent        = "try"     // Party: the proxy; Coordinator: the one that it is joined to; Backend; RPCID; Method; Count: number of the attempt; Text: reason for a retry
	EffectExecuted     = "run"     // Backend: the one that began to execute the RPC; RPCID; Method; Text: idempotency key, if there is one
	RPCFinished        = "end"     // Party: the proxy; RPCID; Method; Text: ok, pushed back or aborted; Value: seconds since the RPC arrived
	BackendStarted     = "start"   // Backend: the one whose process started cold; Value: its capacity when warm, in RPCs per second
	BackendCollapsed   = "fall"    // Backend: the one that collapsed under load while cold
	BackendStopped     = "gone"    // Backend: the one whose process ended
	LinkCut            = "cut"     // Party: a proxy or the endpoint list service; Coordinator: nothing passes between the two
	LinkRestored       = "heal"    // Party: a proxy or the endpoint list service; Coordinator: the link between the two works again
	ProcessPaused      = "stall"   // Party: the coordinator or proxy whose process does not run; Value: duration in seconds
	FaultInjected      = "trouble" // Text: the step of the scenario; Value: duration in seconds
	ScheduleDelay      = "late"    // Party or Backend: an emulated one; Value: by how many seconds it was behind its own schedule at most since its previous such record
	BackendSampled     = "glance"  // Backend; Value: capacity in RPCs per second; Count: jobs that wait for a core; Text: share of the backend's cores that is busy
	LoadOffered        = "offer"   // Backend: a cold one; Value: work that arrived within emulator.Config.OverloadWindow, divided by the work that makes the backend collapse; Count: RPCs in that window
)
