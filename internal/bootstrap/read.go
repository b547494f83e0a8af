package bootstrap

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gingerfork/choice"
)

// Trade is what a settings file says: what the module reads, under its words, and what the program itself reads.
type Settings struct {
	Name    string
	Values  map[string]any // the module's
	Methods []string
	Peers   map[int]string
	own     map[string]any // the program's, by keyword
	at      map[string]Line
}

// Text gives one of the program's own words.
func (t *Settings) Text(keyword string) string { v, _ := t.own[keyword].(string); return v }

// Num gives one of the program's own numbers; times are in seconds.
func (t *Settings) Number(keyword string) float64 { v, _ := t.own[keyword].(float64); return v }

// Canonical is all that is set, a line for each value in the order of names: the same settings give the same text.
func (t *Settings) Canonical() string {
	all := []string{"instance " + t.Name}
	for _, m := range []map[string]any{t.Values, t.own} {
		for k, v := range m {
			all = append(all, fmt.Sprintf("%s %v", k, v))
		}
	}
	for n, addr := range t.Peers {
		all = append(all, fmt.Sprintf("peer.%d %s", n, addr))
	}
	slices.Sort(all)
	return strings.Join(all, "\n")
}

// Read reads a settings file and what it includes. All faults are reported; the Trade is nil where there is any.
func Read(path string) (*Settings, error) {
	lines, faults := Load(path)
	t, more := Parse(path, lines)
	faults = append(faults, more...)
	if len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	return t, nil
}

type section struct {
	name  string
	arg   string
	open  Line
	given map[string]Line
}

// Parse reads settings from lines; file names the whole in faults that no line is to blame for.
func Parse(file string, lines []Line) (*Settings, Faults) {
	t := &Settings{Values: map[string]any{}, own: map[string]any{}, at: map[string]Line{}, Peers: map[int]string{}}
	var faults Faults
	var now *section
	seen := map[string]*section{}
	opened := func(l Line) bool {
		for _, s := range Sections {
			if s.Name != l.Words[0] {
				continue
			}
			now = &section{name: s.Name, open: l, given: map[string]Line{}}
			want := 0
			if s.Arg != "" {
				want = 1
			}
			if len(l.Words)-1 != want {
				faults = append(faults, l.Fault("%s takes %d names, has %d", s.Name, want, len(l.Words)-1))
			}
			if len(l.Words) > 1 {
				now.arg = l.Words[1]
			}
			key := s.Name
			if s.Name == "method" {
				key += " " + now.arg
			}
			if was := seen[key]; was != nil {
				faults = append(faults, l.Fault("%s stands here a second time, first at %s:%d", key, was.open.File, was.open.Number))
			} else {
				seen[key] = now
			}
			switch s.Name {
			case "instance":
				t.Name = now.arg
			case "method":
				if !slices.Contains(t.Methods, now.arg) {
					t.Methods = append(t.Methods, now.arg)
				}
			}
			return true
		}
		return false
	}
	for _, l := range lines {
		if opened(l) {
			continue
		}
		if now == nil {
			faults = append(faults, l.Fault("%s stands outside of any section%s", l.Words[0], meant(l.Words[0], sectionNames())))
			continue
		}
		k := find(now.name, l.Words[0])
		if k == nil {
			known := append(keywords(now.name), sectionNames()...)
			faults = append(faults, l.Fault("%s is no keyword of %s%s", l.Words[0], now.name, meant(l.Words[0], known)))
			continue
		}
		if was, twice := now.given[k.Name]; twice && k.Syntax != peer {
			faults = append(faults, l.Fault("%s stands here a second time, first at %s:%d", k.Name, was.File, was.Number))
			continue
		}
		now.given[k.Name] = l
		v, err := k.value(l.Words[1:])
		if err != nil {
			faults = append(faults, l.Fault("%v", err))
			continue
		}
		t.put(now, k, v, l)
	}
	for _, s := range Sections {
		if s.Name == "method" {
			if len(t.Methods) == 0 {
				faults = append(faults, Fault{file, 1, "there is no section method, one at least expected"})
			}
			for _, m := range t.Methods {
				faults = append(faults, t.complete(seen["method "+m])...)
			}
			continue
		}
		if seen[s.Name] == nil {
			if needed(s.Name) {
				faults = append(faults, Fault{file, 1, fmt.Sprintf("there is no section %s", s.Name)})
				continue
			}
			seen[s.Name] = &section{name: s.Name, given: map[string]Line{}}
		}
		faults = append(faults, t.complete(seen[s.Name])...)
	}
	t.Values["method.n"] = float64(len(t.Methods))
	t.Values["slices"] = 0.0
	return t, append(faults, t.together()...)
}

func sectionNames() (all []string) {
	for _, s := range Sections {
		all = append(all, s.Name)
	}
	return all
}

func needed(section string) bool {
	return slices.ContainsFunc(Keywords, func(k Keyword) bool { return k.Section == section && k.Default == need })
}

// complete fills in defaults, and names what has none.
func (t *Settings) complete(s *section) (faults Faults) {
	for i := range Keywords {
		k := &Keywords[i]
		if k.Section != s.name {
			continue
		}
		if _, ok := s.given[k.Name]; ok {
			continue
		}
		if k.Default == need {
			faults = append(faults, s.open.Fault("%s lacks %s (such as: %s)", strings.TrimSpace(s.name+" "+s.arg), k.Name, k.Example))
			continue
		}
		if k.Syntax == peer {
			continue
		}
		v, err := k.value([]string{k.Default})
		if err != nil {
			panic("bootstrap: a default is no good: " + err.Error())
		}
		t.put(s, k, v, s.open)
	}
	return faults
}

func (t *Settings) put(s *section, k *Keyword, v any, l Line) {
	t.at[strings.Join(strings.Fields(s.name+" "+s.arg+" "+k.Name), " ")] = l
	switch k.Syntax {
	case peer:
		args := v.([]string)
		n, _ := strconv.Atoi(args[0])
		t.Peers[n] = args[1]
		return
	case names:
		all := v.([]string)
		t.Values[k.DecisionName+".n"] = float64(len(all))
		for i, x := range all {
			t.Values[fmt.Sprintf("%s.%d", k.DecisionName, i)] = x
		}
		return
	case path:
		if p := v.(string); p != "-" && !filepath.IsAbs(p) && l.File != "" {
			v = filepath.Join(filepath.Dir(l.File), p)
		} else if p == "-" {
			v = ""
		}
	}
	if k.DecisionName == "" {
		t.own[k.Name] = v
		return
	}
	name := k.DecisionName
	if s.name == "method" {
		at := slices.Index(t.Methods, s.arg)
		name = fmt.Sprintf("method.%d.%s", at, k.DecisionName)
		t.Values[fmt.Sprintf("method.%d.name", at)] = s.arg
	}
	t.Values[name] = v
}

// together checks what only shows when values stand side by side.
func (t *Settings) together() (faults Faults) {
	b := choice.Config{Settings: choice.DecodeSettings(t.Values)}
	blame := func(key, format string, args ...any) {
		if l, ok := t.at[key]; ok {
			faults = append(faults, l.Fault(format, args...))
		}
	}
	zones := b.Settings.Zones
	if z := b.Settings.Zone; len(zones) > 0 && z != "" && !slices.Contains(zones, z) {
		blame("instance "+t.Name+" zone", "zone %s is none of the fleet's zones %s%s", z, strings.Join(zones, ", "), meant(z, zones))
	}
	if b.Settings.Self.Or(0) >= b.Settings.Coordinators.Or(1) {
		blame("instance "+t.Name+" self", "self %v is not below the number of coordinators, %v", b.Settings.Self.Or(0), b.Settings.Coordinators.Or(1))
	}
	if b.Settings.PushTimeWorst.Or(0) < b.Settings.PushTime.Or(0) {
		blame("proxies push-time-worst", "push-time-worst is shorter than push-time")
	}
	for i, m := range t.Methods {
		method := b.Settings.Methods[i]
		if soft, dead := method.SoftDeadline.Or(0), method.Deadline.Or(0); soft > dead && dead > 0 {
			blame("method "+m+" deadline", "the deadline %vs of %s is before its soft deadline %vs", dead, m, soft)
		}
	}
	if len(t.Methods) > 64 {
		blame("method "+t.Methods[64]+" effect", "there are %d methods, 64 at most", len(t.Methods))
	}
	return faults
}

// Coordinator gives what the module reads at a start.
func (t *Settings) CoordinatorConfig(now choice.Seconds) choice.Config {
	return choice.Config{Seed: uint64(t.Number("seed")), Now: now, Settings: choice.DecodeSettings(t.Values)}
}
