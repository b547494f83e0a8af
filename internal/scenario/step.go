package scenario

import (
	"maps"
	"slices"

	"gingerfork/internal/bootstrap"
)

// Verb is the fault or operation of a step, as spelled in scripts.
type Verb string

// The verbs. docs/days.md describes them.
const (
	VerbKill             Verb = "kill"    // processes are killed
	VerbVanish           Verb = "vanish"  // processes are killed, and the endpoint list service does not learn of it
	VerbPowerLoss        Verb = "silence" // machines lose power: their connections are not even reset
	VerbPause            Verb = "stall"   // processes do not run
	VerbHang             Verb = "hang"    // backends accept everything and answer nothing
	VerbFailFast         Verb = "fast"    // backends abort all RPCs at once
	VerbFailShare        Verb = "part"    // backends abort a share of the RPCs
	VerbFailMethod       Verb = "method"  // backends abort the RPCs of one method
	VerbFailFrom         Verb = "from"    // backends abort the RPCs from the proxies of one coordinator
	VerbSlow             Verb = "slow"    // work or pushes take longer by a factor
	VerbHeavyTail        Verb = "dear"    // one RPC in ten takes longer by a factor
	VerbSlowHandshake    Verb = "shake"   // new connections are delayed
	VerbLimitConnections Verb = "conns"   // the number of connections to a backend is limited
	VerbRepeatedHangs    Verb = "pauses"  // backends hang for a short time once a second
	VerbFlap             Verb = "flap"    // backends go down and up again, periodically
	VerbDeploy           Verb = "deploy"  // backends are drained and restarted one after another
	VerbResetStreams     Verb = "break"   // streams are reset
	VerbDelay            Verb = "late"    // endpoint updates or streams are delayed
	VerbListStale        Verb = "stale"   // the endpoint list is not updated
	VerbListEmpty        Verb = "empty"   // the endpoint list shows no backend
	VerbListOne          Verb = "one"     // the endpoint list shows only one backend
	VerbListFail         Verb = "fail"    // the endpoint list service answers with errors
	VerbPartition        Verb = "cut"     // nothing passes on the links of the targets
	VerbLoseZone         Verb = "lose"    // all backends of a zone are killed
	VerbLoad             Verb = "load"    // the request rate of proxies changes by a factor
)

// Target is the kind of participant or link that a step affects, as spelled in scripts.
type Target string

// The targets.
const (
	TargetBackends        Target = "servers"
	TargetProxies         Target = "frontends"
	TargetCoordinators    Target = "coordinators"
	TargetEndpointService Target = "list"    // the endpoint list service
	TargetZone            Target = "zone"    // all participants of a zone, or the zone's links to other zones
	TargetStreams         Target = "streams" // the streams between the selected proxies and coordinators
)

// FlapMode is how a flapping backend goes down, as spelled in scripts.
type FlapMode string

// The flap modes. A step that gives none uses FlapCrash.
const (
	FlapCrash     FlapMode = "crash"
	FlapPowerLoss FlapMode = "silence"
	FlapHang      FlapMode = "hang"
	FlapFailFast  FlapMode = "fast"
)

var flapModes = []FlapMode{FlapCrash, FlapPowerLoss, FlapHang, FlapFailFast}

// Step is one fault or operation of a scenario.
type Step struct {
	Source   bootstrap.Line // the script line
	At       float64        // start of the step, in seconds after the start of the scenario
	Verb     Verb
	Target   Target
	Selector Selector
	Duration float64  // seconds; 0: until the end of the scenario, if the verb permits it
	Argument string   // the word after "by", with numbers in the form that emulated backends take; "": none
	Value    float64  // Argument as a number, if it is a share, a factor or a time in seconds
	FlapMode FlapMode // only of a step with VerbFlap
	Deploy   Deploy   // only of a step with VerbDeploy
}

// Deploy is the schedule of a rolling restart, in seconds.
type Deploy struct {
	Drain         float64 // seconds between the beginning of a backend's drain and the end of its process
	Down          float64 // seconds between the end of a backend's process and the restart
	Interval      float64 // seconds between the beginning of the drains of one backend and the next
	IntervalGiven bool    // whether the script gives the interval; Scale changes only a given one
}

// defaultDeploy has the times in seconds that a deploy step uses for those that it does not give.
var defaultDeploy = Deploy{Drain: 3, Down: 1, Interval: 1}

// Selector selects the participants that a step affects: those that match Zone, Kind and Indexes, or a random subset of them if
// it has a share or a count.
type Selector struct {
	Count   int     // 0: not given
	Share   float64 // 0: not given
	Zone    string  // "": any
	Kind    string  // "": any
	Indexes []int   // indexes, from 0, among the participants of the target's kind; empty: any
}

// argumentKind is the kind of word that a verb expects after "by", as error messages name it.
type argumentKind string

const (
	noArgument          argumentKind = ""
	shareArgument       argumentKind = "share"
	methodArgument      argumentKind = "method"
	coordinatorArgument argumentKind = "coordinator"
	factorArgument      argumentKind = "factor"
	timeArgument        argumentKind = "time"
	integerArgument     argumentKind = "whole number"
)

// verbSpec describes a verb.
type verbSpec struct {
	targets       []Target // targets that the verb applies to
	argument      argumentKind
	needsDuration bool
	run           func(p *player, step *runningStep) // carries out a step
}

var verbSpecs = map[Verb]verbSpec{
	VerbKill:             {targets: []Target{TargetBackends, TargetProxies, TargetCoordinators}, run: (*player).runKill},
	VerbVanish:           {targets: []Target{TargetBackends}, run: (*player).runKill},
	VerbPowerLoss:        {targets: []Target{TargetBackends}, run: (*player).runPowerLoss},
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

// Verbs returns the spellings of all verbs in alphabetical order, for messages and documentation.
func Verbs() []string {
	verbs := make([]string, 0, len(verbSpecs))
	for verb := range maps.Keys(verbSpecs) {
		verbs = append(verbs, string(verb))
	}
	slices.Sort(verbs)
	return verbs
}
