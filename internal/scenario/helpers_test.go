package scenario

import "testing"

// builtinScenario reads an embedded scenario.
func builtinScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	text, err := File(name + ".day")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Read(name+".day", string(text), File)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// readScript reads a script that names an embedded settings file.
func readScript(t *testing.T, text string) *Scenario {
	t.Helper()
	scenario, err := Read("test.day", text, File)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// fleetOfTwelve is a script with twelve backends and twelve proxies in two zones, and without steps.
const fleetOfTwelve = "settings perth.conf\nlength 30s\nseed 9\ncoordinators 2\nservers 6 zone dc-kewdale capacity 30\nservers 6 zone dc-malaga capacity 30\n" +
	"frontends 6 zone dc-kewdale rate 12\nfrontends 6 zone dc-malaga rate 12\nmix 70% 30%\n"

// playCleanly plays a scenario in virtual time, and fails the test for each violated rule and each failed state machine.
func playCleanly(t *testing.T, name string, scenario *Scenario, options Options) Result {
	t.Helper()
	result, err := PlayVirtual(scenario, options)
	if err != nil {
		t.Fatal(name, err)
	}
	for _, verdict := range result.Report.Rules {
		if verdict.Violations > 0 {
			t.Errorf("%s: rule %d at %.3f, %s: %s", name, verdict.Rule, verdict.FirstTime, verdict.Party, verdict.Reason)
		}
	}
	for _, failure := range result.Failures {
		t.Errorf("%s: %s", name, failure)
	}
	return result
}
