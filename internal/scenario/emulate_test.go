package scenario

import (
	"errors"
	"testing"

	"gingerfork/internal/bootstrap"
)

// An emulation that cannot be played is rejected with an error that tells why.
func TestEmulationCheck(t *testing.T) {
	quiet := readScript(t, "day quiet\n"+fleetOfTwelve)
	if err := (Emulation{Scenario: quiet, Port: 20000}).Check(); err != nil {
		t.Errorf("a fleet without steps: got error %v", err)
	}
	var portRange *PortRangeError
	if err := (Emulation{Scenario: quiet, Port: 65530}).Check(); !errors.As(err, &portRange) || portRange.Backends != 12 {
		t.Errorf("ports above the range: got error %v, want a PortRangeError", err)
	}
	var noPart *UnknownPartError
	if err := (Emulation{Scenario: quiet, Port: 20000, Part: 3, Parts: 2}).Check(); !errors.As(err, &noPart) {
		t.Errorf("part 3 of 2: got error %v, want a NoPartError", err)
	}
	for step, possible := range map[string]bool{
		"at 1s kill servers 1":                           true,
		"at 1s lose zone dc-malaga":                      true,
		"at 1s stale list for 1s":                        true,
		"at 1s silence servers 1":                        false,
		"at 1s cut servers 1":                            false,
		"at 1s cut zone dc-malaga":                       false,
		"at 1s cut list":                                 false,
		"at 1s flap servers 1 by 1s for 2s with silence": false,
		"at 1s load frontends all by 150%":               false,
		"at 1s kill coordinators 1 for 1s":               false,
		"at 1s break streams all":                        false,
		"at 1s flap servers 1 by 1s for 2s with hang":    true,
	} {
		var faults bootstrap.Faults
		err := Emulation{Scenario: readScript(t, "day step\n"+fleetOfTwelve+step+"\n"), Port: 20000}.Check()
		if (err == nil) != possible || !possible && !errors.As(err, &faults) {
			t.Errorf("%s: got error %v, want it possible: %v", step, err, possible)
		}
	}
}
