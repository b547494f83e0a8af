package main

import (
	"gingerfork/choice"
	"gingerfork/internal/fake"
)

// Defaults of a fake front end for what the settings do not say. Times are in seconds.
const (
	frontEndAvoidDuration     = 5   // for which a backend is avoided after too many consecutive failures
	frontEndAttemptTimeout    = 0.8 // share of the soft deadline
	frontEndReportPeriod      = 1
	frontEndApplyTimePerEntry = 0.0002
	frontEndConnectTimeout    = 0.25
)

// frontEndConfig returns the configuration that all front ends of a fleet with these settings share. The caller adds name,
// zone, rate, seed and coordinators.
func frontEndConfig(settings *choice.Settings) fake.FrontEndConfig {
	return fake.FrontEndConfig{
		Methods:             fake.MethodConfigs(settings.Methods),
		Policy:              settings.PickPolicy,
		FailureLimit:        int(settings.AvoidAfterFailures.Or(0)),
		AvoidDuration:       frontEndAvoidDuration,
		AttemptTimeoutRatio: settings.AttemptTimeoutShare.Or(frontEndAttemptTimeout),
		ApplyTimePerEntry:   frontEndApplyTimePerEntry,
		AdmissionIsRate:     settings.LevelKind == "rate",
		ReportPeriod:        settings.ReportPeriod.Or(frontEndReportPeriod),
		ConnectTimeout:      frontEndConnectTimeout,
	}
}
