package fake

import (
	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// Repeatability tells whether an RPC may be executed more than once.
type Repeatability uint8

// The kinds of methods by repeatability.
const (
	// Idempotent methods may be executed any number of times.
	Idempotent Repeatability = iota
	// IdempotentWithKey methods carry an idempotency key, by which backends detect and skip a second execution.
	IdempotentWithKey
	// NonIdempotent methods may only be repeated if it is certain that the earlier attempt was not executed.
	NonIdempotent
)

// MethodConfig describes one RPC method.
type MethodConfig struct {
	Name          string
	Repeatability Repeatability
	Criticality   float64
	SoftDeadline  statemachine.Seconds
	Deadline      statemachine.Seconds
	Share         float64 // share of the front end's RPCs that are of this method, 0 to 1
}

// Defaults of a method's settings, the same as those of the coordinator.
const (
	defaultCriticality  = 1
	defaultSoftDeadline = 1 // seconds
	defaultDeadline     = 2 // seconds
)

// repeatabilityByName has the repeatability for each value of the method setting "effect".
var repeatabilityByName = map[string]Repeatability{
	"idempotent":     Idempotent,
	"tokened":        IdempotentWithKey,
	"non-idempotent": NonIdempotent,
}

// MethodConfigs converts the methods of a fleet's settings. Each gets an equal share of the RPCs.
func MethodConfigs(methods []choice.MethodSettings) []MethodConfig {
	configs := make([]MethodConfig, 0, len(methods))
	for _, method := range methods {
		configs = append(configs, MethodConfig{
			Name:          method.Name,
			Repeatability: repeatabilityByName[method.Effect],
			Criticality:   method.Criticality.Or(defaultCriticality),
			SoftDeadline:  method.SoftDeadline.Or(defaultSoftDeadline),
			Deadline:      method.Deadline.Or(defaultDeadline),
			Share:         1 / float64(len(methods)),
		})
	}
	return configs
}
