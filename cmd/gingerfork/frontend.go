package main

import (
	"gingerfork/choice"
	"gingerfork/internal/fake"
)

// What a fake front end does where the settings say nothing. Times are in seconds.
const (
	frontEndAvoidFor          = 5
	frontEndAttemptTimeout    = 0.8 // of the soft deadline
	frontEndReportPeriod      = 1
	frontEndApplyTimePerEntry = 0.0002
	frontEndConnectTimeout    = 0.25
)

// frontEndConfig returns the configuration of a front end of a fleet with these settings, without what is its own: name,
// zone, rate, seed and coordinators.
func frontEndConfig(settings *choice.Settings) fake.FrontEndConfig {
	return fake.FrontEndConfig{
		Methods:           fake.MethodConfigs(settings.Methods),
		Policy:            settings.Pick,
		FailureLimit:      int(settings.Strikes.Or(0)),
		AvoidFor:          frontEndAvoidFor,
		AttemptTimeout:    settings.TryWait.Or(frontEndAttemptTimeout),
		ApplyTimePerEntry: frontEndApplyTimePerEntry,
		AdmissionIsRate:   settings.LevelKind == "rate",
		ReportPeriod:      settings.ReportPeriod.Or(frontEndReportPeriod),
		ConnectTimeout:    frontEndConnectTimeout,
	}
}
