package choice

import (
	"reflect"
	"testing"
)

// methodsField is the field of Settings that TestSettingsAreDecoded leaves out. TestMethodSettingsAreDecoded covers it.
const methodsField = "Methods"

// settingNames has, by the name of each field of Settings, its name in the flat form.
var settingNames = map[string]string{
	"MaxPollInterval":       "ask_within",
	"MaxTimeWithoutEntry":   "bare_limit",
	"ChannelLinesPerSecond": "channel_pace",
	"MaxChannelLines":       "channel_room",
	"ColdCapacityShare":     "cold_share",
	"Coordinators":          "coordinators",
	"CrossZonePrice":        "price.crossing",
	"DrainGrace":            "drain_grace",
	"CollapseLoadMultiple":  "fall_multiple",
	"CollapseWindow":        "fall_window",
	"FeedbackColumns":       "Feedback.Columns",
	"FeedbackSource":        "Feedback.Source",
	"MaxReportsPerSecond":   "intake",
	"LevelKind":             "level_kind",
	"EndpointListMode":      "listing",
	"MessageHeaderLines":    "message_lines",
	"MessageLimit":          "messages",
	"MessageLimitSpan":      "messages_span",
	"ExcludeOnlyDraining":   "only_draining_binds",
	"PickPolicy":            "pick",
	"ProbesAllowed":         "probes",
	"ProxyCount":            "proxies",
	"MeanPushTime":          "push_time",
	"MaxPushTime":           "push_time_worst",
	"ReportPeriod":          "report_period",
	"Self":                  "self",
	"SliceCount":            "slices",
	"AvoidAfterFailures":    "strikes",
	"Tick":                  "tick",
	"AttemptTimeoutShare":   "try_wait",
	"WarmupDuration":        "warm_after",
	"Zone":                  "zone",
	"Zones":                 "zones",
}

// methodSettingNames has, by the name of each field of MethodSettings, its name in the flat form after the prefix of the
// method.
var methodSettingNames = map[string]string{
	"Name":         "name",
	"Effect":       "effect",
	"Group":        "group",
	"RetryLimit":   "most_tries",
	"OwnZone":      "own_zone",
	"Criticality":  "criticality",
	"SoftDeadline": "soft_deadline",
	"Deadline":     "deadline",
	"TokenWindow":  "window",
}

func TestSettingsAreDecoded(t *testing.T) {
	checkNamesMatchFields(t, reflect.TypeFor[Settings](), settingNames, methodsField)
	for field, name := range settingNames {
		t.Run(field, func(t *testing.T) {
			flat, want := flatForm(t, reflect.TypeFor[Settings](), field, name)
			checkOnlyField(t, reflect.ValueOf(DecodeSettings(flat)), field, want)
		})
	}
}

func TestMethodSettingsAreDecoded(t *testing.T) {
	checkNamesMatchFields(t, reflect.TypeFor[MethodSettings](), methodSettingNames)
	for field, name := range methodSettingNames {
		t.Run(field, func(t *testing.T) {
			flat, want := flatForm(t, reflect.TypeFor[MethodSettings](), field, "method.1."+name)
			flat["method.n"] = 2.0
			methods := DecodeSettings(flat).Methods
			if len(methods) != 2 {
				t.Fatalf("%d methods are decoded, 2 wanted", len(methods))
			}
			checkOnlyField(t, reflect.ValueOf(methods[1]), field, want)
			if methods[0] != (MethodSettings{}) {
				t.Errorf("the settings of method 1 are decoded for method 0: %+v", methods[0])
			}
		})
	}
}

// checkNamesMatchFields checks that each exported field of a struct type is among the names or the exceptions, and that each
// name is that of a field.
func checkNamesMatchFields(t *testing.T, settings reflect.Type, names map[string]string, exceptions ...string) {
	t.Helper()
	fields := map[string]bool{}
	for _, field := range exceptions {
		fields[field] = true
	}
	for _, field := range reflect.VisibleFields(settings) {
		if _, named := names[field.Name]; !named && !fields[field.Name] && field.IsExported() {
			t.Errorf("the test has no name in the flat form for %s.%s", settings.Name(), field.Name)
		}
		fields[field.Name] = true
	}
	for field := range names {
		if !fields[field] {
			t.Errorf("%s has no field %s", settings.Name(), field)
		}
	}
}

// flatForm returns settings in the flat form that have a value for one field only, and the value that the field should get.
func flatForm(t *testing.T, settings reflect.Type, field, name string) (flat map[string]any, want any) {
	t.Helper()
	structField, ok := settings.FieldByName(field)
	if !ok {
		t.Fatalf("%s has no field %s", settings.Name(), field)
	}
	switch structField.Type {
	case reflect.TypeFor[Number]():
		return map[string]any{name: 42.0}, NumberOf(42)
	case reflect.TypeFor[string]():
		return map[string]any{name: "word"}, "word"
	case reflect.TypeFor[bool]():
		return map[string]any{name: true}, true
	case reflect.TypeFor[[]string]():
		return map[string]any{name + ".n": 2.0, name + ".0": "first", name + ".1": "second"}, []string{"first", "second"}
	default:
		t.Fatalf("%s.%s has type %s, which the test cannot write in the flat form", settings.Name(), field, structField.Type)
		return nil, nil
	}
}

// checkOnlyField checks that one field has the wanted value and that the other fields have their zero value.
func checkOnlyField(t *testing.T, decoded reflect.Value, field string, want any) {
	t.Helper()
	if got := decoded.FieldByName(field).Interface(); !reflect.DeepEqual(got, want) {
		t.Errorf("%s is decoded as %v, %v wanted", field, got, want)
	}
	for _, other := range reflect.VisibleFields(decoded.Type()) {
		if other.Name != field && other.Name != methodsField && !decoded.FieldByIndex(other.Index).IsZero() {
			t.Errorf("the value of %s is decoded into %s", field, other.Name)
		}
	}
}
