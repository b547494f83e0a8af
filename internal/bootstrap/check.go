package bootstrap

import (
	"slices"
	"strings"

	"gingerfork/choice"
)

// maxMethods is how many methods the bits of a table's methods have room for.
const maxMethods = 64

// check finds the faults that only show when several settings are compared.
func (s *Settings) check() Faults {
	settings := choice.DecodeSettings(s.Values)
	faults := s.checkInstance(settings)
	if settings.MaxPushTime.Or(0) < settings.MeanPushTime.Or(0) {
		faults = append(faults, s.faultAt("proxies push-time-worst", "push-time-worst is shorter than push-time")...)
	}
	return append(faults, s.checkMethods(settings)...)
}

// faultAt makes a fault of the line of a setting, and none if the setting has no line.
func (s *Settings) faultAt(key, format string, args ...any) Faults {
	line, ok := s.lines[key]
	if !ok {
		return nil
	}
	return Faults{line.Fault(format, args...)}
}

func (s *Settings) checkInstance(settings choice.Settings) (faults Faults) {
	zone, zones := settings.Zone, settings.Zones
	if len(zones) > 0 && zone != "" && !slices.Contains(zones, zone) {
		faults = append(faults, s.faultAt("instance "+s.Name+" zone", "zone %s is none of the fleet's zones %s%s",
			zone, strings.Join(zones, ", "), didYouMean(zone, zones))...)
	}
	if self, coordinators := settings.Self.Or(0), settings.Coordinators.Or(1); self >= coordinators {
		faults = append(faults, s.faultAt("instance "+s.Name+" self",
			"self %v is not below the number of coordinators, %v", self, coordinators)...)
	}
	return faults
}

func (s *Settings) checkMethods(settings choice.Settings) (faults Faults) {
	for i, name := range s.Methods {
		method := settings.Methods[i]
		soft, deadline := method.SoftDeadline.Or(0), method.Deadline.Or(0)
		if soft > deadline && deadline > 0 {
			faults = append(faults, s.faultAt(methodKey(name)+" deadline",
				"the deadline %vs of %s is before its soft deadline %vs", deadline, name, soft)...)
		}
	}
	if len(s.Methods) > maxMethods {
		faults = append(faults, s.faultAt(methodKey(s.Methods[maxMethods])+" effect",
			"there are %d methods, %d at most", len(s.Methods), maxMethods)...)
	}
	return faults
}
