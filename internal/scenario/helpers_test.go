package scenario

import "testing"

// builtinScenario reads an embedded scenario.
func builtinScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	text, err := File(name + ".day")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Read(name+".day", string(text), File)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// readScript reads a script that names embedded settings.
func readScript(t *testing.T, text string) *Scenario {
	t.Helper()
	d, err := Read("test.day", text, File)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// fleetOfTwelve is a script without steps: twelve backends and twelve proxies in two zones.
const fleetOfTwelve = "settings perth.conf\nlength 30s\nseed 9\ncoordinators 2\nservers 6 zone dc-kewdale capacity 30\nservers 6 zone dc-malaga capacity 30\n" +
	"frontends 6 zone dc-kewdale rate 12\nfrontends 6 zone dc-malaga rate 12\nmix 70% 30%\n"

// playCleanly plays a scenario, and fails the test for every violation and every failed state machine.
func playCleanly(t *testing.T, name string, scenario *Scenario, options Options) Result {
	t.Helper()
	result, err := PlayVirtual(scenario, options)
	if err != nil {
		t.Fatal(name, err)
	}
	for _, v := range result.Report.Rules {
		if v.Violations > 0 {
			t.Errorf("%s: rule %d at %.3f, %s: %s", name, v.Rule, v.FirstTime, v.Party, v.Reason)
		}
	}
	for _, f := range result.Failures {
		t.Errorf("%s: %s", name, f)
	}
	return result
}
