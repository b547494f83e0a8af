package scenario

import (
	"maps"
	"slices"

	"gingerfork/internal/bootstrap"
)

// Verb is what a step does, as scripts spell it.
type Verb string

// The verbs; docs/days.md describes each.
const (
	VerbKill             Verb = "kill"    // end the process
	VerbVanish           Verb = "vanish"  // end the process, unnoticed by the endpoint list service
	VerbPowerLoss        Verb = "silence" // the machine loses power: no reset is sent
	VerbPause            Verb = "stall"   // the process does not run
	VerbHang             Verb = "hang"    // all is accepted and nothing answered
	VerbFailFast         Verb = "fast"    // RPCs are aborted at once
	VerbFailShare        Verb = "part"    // a share of the RPCs is aborted
	VerbFailMethod       Verb = "method"  // RPCs of one method are aborted
	VerbFailFrom         Verb = "from"    // RPCs of one coordinator's proxies are aborted
	VerbSlow             Verb = "slow"    // work takes longer by a factor
	VerbHeavyTail        Verb = "dear"    // one RPC in ten takes longer by a factor
	VerbSlowHandshake    Verb = "shake"   // a new connection waits
	VerbLimitConnections Verb = "conns"   // connections are limited
	VerbRepeatedHangs    Verb = "pauses"  // short hangs, once a second
	VerbFlap             Verb = "flap"    // down and up again, periodically
	VerbDeploy           Verb = "deploy"  // drain and restart, one after another
	VerbResetStreams     Verb = "break"   // streams are reset
	VerbDelay            Verb = "late"    // updates or streams are delayed
	VerbListStale        Verb = "stale"   // the endpoint list is not updated
	VerbListEmpty        Verb = "empty"   // the endpoint list shows no backend
	VerbListOne          Verb = "one"     // the endpoint list shows one backend only
	VerbListFail         Verb = "fail"    // the endpoint list service answers with errors
	VerbPartition        Verb = "cut"     // nothing passes on the links
	VerbLoseZone         Verb = "lose"    // all backends of a zone end
	VerbLoad             Verb = "load"    // the request rate changes by a factor
)

// Target is what a step happens to, as scripts spell it.
type Target string

// The targets.
const (
	TargetBackends        Target = "servers"
	TargetProxies         Target = "frontends"
	TargetCoordinators    Target = "coordinators"
	TargetEndpointService Target = "list" // the endpoint list service
	TargetZone            Target = "zone"
	TargetStreams         Target = "streams" // between coordinators and the selected proxies
)

// FlapMode is how a flapping backend goes down, as scripts spell it.
type FlapMode string

// The flap modes; none given is FlapCrash.
const (
	FlapCrash     FlapMode = "crash"
	FlapPowerLoss FlapMode = "silence"
	FlapHang      FlapMode = "hang"
	FlapFailFast  FlapMode = "fast"
)

var flapModes = []FlapMode{FlapCrash, FlapPowerLoss, FlapHang, FlapFailFast}

// Step is one fault or operation of a scenario.
type Step struct {
	Source   bootstrap.Line
	At       float64 // seconds after the start
	Verb     Verb
	Target   Target
	Selector Selector
	Duration float64  // seconds; 0: until the end, where the verb permits it
	Argument string   // in the form that the emulated backends take; "": none
	Value    float64  // Argument as a number, where it is one: share, factor or seconds
	FlapMode FlapMode // of VerbFlap
	Deploy   Deploy   // of VerbDeploy
}

// Deploy is the schedule of a rolling restart, in seconds.
type Deploy struct {
	Drain         float64 // between the announcement and the end of the process
	Down          float64 // between the end of a process and its restart
	Interval      float64 // between one backend and the next
	IntervalGiven bool    // the script names the interval: it scales with the fleet
}

// defaultDeploy is the schedule of a deploy that gives none.
var defaultDeploy = Deploy{Drain: 3, Down: 1, Interval: 1}

// Selector says which parties of a kind a step happens to: all that meet its conditions, or a random choice of them if it
// has a share or a count.
type Selector struct {
	Count   int     // 0: not given
	Share   float64 // 0: not given
	Zone    string  // "": any
	Kind    string  // "": any
	Indexes []int   // none: any
}

// argumentKind says what the word after "by" is.
type argumentKind string

const (
	noArgument          argumentKind = ""
	shareArgument       argumentKind = "share"
	methodArgument      argumentKind = "method"
	coordinatorArgument argumentKind = "coordinator"
	factorArgument      argumentKind = "factor"
	timeArgument        argumentKind = "time"
	integerArgument     argumentKind = "whole"
)

// verbSpec describes a verb: what it may happen to, what it needs, and what carries it out.
type verbSpec struct {
	targets       []Target
	argument      argumentKind
	needsDuration bool
	run           func(p *player, step *runningStep)
}

var verbSpecs = map[Verb]verbSpec{
	VerbKill:             {targets: []Target{TargetBackends, TargetProxies, TargetCoordinators}, run: (*player).runKill},
	VerbVanish:           {targets: []Target{TargetBackends}, run: (*player).runKill},
	VerbPowerLoss:        {targets: []Target{TargetBackends}, run: (*player).runIsolate},
	VerbPause:            {targets: []Target{TargetProxies, TargetCoordinators}, needsDuration: true, run: (*player).runPause},
	VerbHang:             {targets: []Target{TargetBackends}, run: (*player).runBackendFault},
	VerbFailFast:         {targets: []Target{TargetBackends}, run: (*player).runBackendFault},
	VerbFailShare:        {targets: []Target{TargetBackends}, argument: shareArgument, run: (*player).runBackendFault},
	VerbFailMethod:       {targets: []Target{TargetBackends}, argument: methodArgument, run: (*player).runBackendFault},
	VerbFailFrom:         {targets: []Target{TargetBackends}, argument: coordinatorArgument, run: (*player).runBackendFault},
	VerbSlow:             {targets: []Target{TargetBackends, TargetStreams}, argument: factorArgument, run: (*player).runSlow},
	VerbHeavyTail:        {targets: []Target{TargetBackends}, argument: factorArgument, run: (*player).runBackendFault},
	VerbSlowHandshake:    {targets: []Target{TargetBackends}, argument: timeArgument, run: (*player).runBackendFault},
	VerbLimitConnections: {targets: []Target{TargetBackends}, argument: integerArgument, run: (*player).runBackendFault},
	VerbRepeatedHangs:    {targets: []Target{TargetBackends}, argument: timeArgument, needsDuration: true, run: (*player).runPauses},
	VerbFlap:             {targets: []Target{TargetBackends}, argument: timeArgument, needsDuration: true, run: (*player).runFlap},
	VerbDeploy:           {targets: []Target{TargetBackends}, run: (*player).runDeploy},
	VerbResetStreams:     {targets: []Target{TargetStreams}, run: (*player).runBreak},
	VerbDelay:            {targets: []Target{TargetEndpointService, TargetStreams}, argument: timeArgument, run: (*player).runDelay},
	VerbListStale:        {targets: []Target{TargetEndpointService}, needsDuration: true, run: (*player).runListFault},
	VerbListEmpty:        {targets: []Target{TargetEndpointService}, needsDuration: true, run: (*player).runListContent},
	VerbListOne:          {targets: []Target{TargetEndpointService}, needsDuration: true, run: (*player).runListContent},
	VerbListFail:         {targets: []Target{TargetEndpointService}, run: (*player).runListFault},
	VerbPartition:        {targets: []Target{TargetZone, TargetBackends, TargetEndpointService}, run: (*player).runPartition},
	VerbLoseZone:         {targets: []Target{TargetZone}, run: (*player).runKill},
	VerbLoad:             {targets: []Target{TargetProxies}, argument: shareArgument, run: (*player).runLoad},
}

// Verbs returns the spellings of all verbs in order, for messages and documentation.
func Verbs() []string {
	verbs := make([]string, 0, len(verbSpecs))
	for verb := range maps.Keys(verbSpecs) {
		verbs = append(verbs, string(verb))
	}
	slices.Sort(verbs)
	return verbs
}
