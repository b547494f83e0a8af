package bootstrap

import (
	"slices"
	"strings"

	"gingerfork/choice"
)

// maxMethods is the largest number of methods, since a set of methods is a uint64 with a bit for each (proto.TableOp.Methods).
const maxMethods = 64

// check returns the faults that are found by comparing several settings.
func (s *Settings) check() Faults {
	settings := choice.DecodeSettings(s.Values)
	faults := s.checkInstance(settings)
	if settings.MaxPushTime.Or(0) < settings.MeanPushTime.Or(0) {
		faults = append(faults, s.faultAt("proxies push-time-worst", "push-time-worst %vs is shorter than push-time %vs",
			settings.MaxPushTime.Or(0), settings.MeanPushTime.Or(0))...)
	}
	return append(faults, s.checkMethods(settings)...)
}

// faultAt returns a fault at the line that sets a setting, or none if there is no such line. key is the setting's key in
// Settings.settingLines.
func (s *Settings) faultAt(key, format string, args ...any) Faults {
	line, ok := s.settingLines[key]
	if !ok {
		return nil
	}
	return Faults{line.Fault(format, args...)}
}

func (s *Settings) checkInstance(settings choice.Settings) (faults Faults) {
	zone, zones := settings.Zone, settings.Zones
	if len(zones) > 0 && zone != "" && !slices.Contains(zones, zone) {
		faults = append(faults, s.faultAt("instance "+s.Name+" zone", "zone %s is not among the fleet's zones %s%s",
			zone, strings.Join(zones, ", "), didYouMean(zone, zones))...)
	}
	if self, coordinators := settings.Self.Or(0), settings.Coordinators.Or(1); self >= coordinators {
		faults = append(faults, s.faultAt("instance "+s.Name+" self",
			"self %v must be less than the number of coordinators, %v", self, coordinators)...)
	}
	return faults
}

func (s *Settings) checkMethods(settings choice.Settings) (faults Faults) {
	for i, name := range s.Methods {
		method := settings.Methods[i]
		soft, deadline := method.SoftDeadline.Or(0), method.Deadline.Or(0)
		if soft > deadline && deadline > 0 {
			faults = append(faults, s.faultAt(methodKey(name)+" deadline",
				"deadline %vs of method %s is shorter than its soft deadline %vs", deadline, name, soft)...)
		}
	}
	if len(s.Methods) > maxMethods {
		faults = append(faults, s.faultAt(methodKey(s.Methods[maxMethods])+" effect",
			"there are %d methods, at most %d are allowed", len(s.Methods), maxMethods)...)
	}
	return faults
}
