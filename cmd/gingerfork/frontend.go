package main

import (
	"gingerfork/choice"
	"gingerfork/internal/fake"
)

// Properties of a fake front end that the settings do not have, and defaults of those that the settings may have. Times are
// in seconds.
const (
	frontEndAvoidDuration     = 5      // for which the front end avoids a backend after too many consecutive failures
	frontEndAttemptTimeout    = 0.8    // timeout of an attempt as a share of the method's soft deadline
	frontEndReportPeriod      = 1      // between two reports
	frontEndApplyTimePerEntry = 0.0002 // for which applying a push pauses the front end, for each table entry of the push
	frontEndConnectTimeout    = 0.25   // for a connection to a backend
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
