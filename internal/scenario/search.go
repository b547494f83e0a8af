package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Found is a script on which something broke.
type Finding struct {
	Seed      uint64
	Violation string // rule N, or defect
	Script    string // as short as it could be made
	Result    Result
}

// trouble is a kind of line that a search draws; %s stands for a length of time.
type trouble struct{ form string }

// troubles are what a search draws from: each verb, and each kind of whom it may hit.
var troubles = []trouble{
	{"deploy servers 60% drain 3s down 1s every 1s"},
	{"deploy servers 30% drain 1s down 2s every 200ms"},
	{"kill coordinators 1 for %s"},
	{"kill coordinators all for %s"},
	{"stall coordinators 1 for %s"},
	{"kill frontends 40% for %s"},
	{"stall frontends 1 for %s"},
	{"kill servers 30% for %s"},
	{"vanish servers 2 for %s"},
	{"hang servers 2 for %s"},
	{"hang servers 50% for %s"},
	{"fast servers 2 for %s"},
	{"part servers 40% by 50% for %s"},
	{"method servers 3 by submit for %s"},
	{"from servers 60% by 0 for %s"},
	{"slow servers 30% by 4 for %s"},
	{"slow servers all by 2 for %s"},
	{"dear servers 40% by 8 for %s"},
	{"shake servers all by 200ms for %s"},
	{"conns servers 50% by 2 for %s"},
	{"pauses servers 40% by 300ms for %s"},
	{"flap servers 2 by 1500ms for %s"},
	{"slow streams by 4 for %s"},
	{"late streams by 1200ms for %s"},
	{"break streams 50%%"},
	{"break streams all"},
	{"late list by 2s for %s"},
	{"stale list for %s"},
	{"empty list for %s"},
	{"one list for %s"},
	{"fail list for %s"},
	{"cut zone dc-malaga for %s"},
	{"cut zone dc-kewdale for %s"},
	{"cut servers 2 for %s"},
	{"cut list for %s"},
	{"lose zone dc-malaga for %s"},
	{"load frontends all by 160% for %s"},
	{"load frontends 1 by 400% for %s"},
}

// Random writes a script of two to four troubles, by seed alone.
func RandomScript(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	fmt.Fprintf(&b, "day search-%d\nsettings perth.conf\nlength 30s\nseed %d\ncoordinators %d\n", seed, seed%1000+1, 1+r.IntN(3))
	fmt.Fprintf(&b, "servers %d zone dc-kewdale capacity 30\nservers %d zone dc-malaga capacity 30\n", 3+r.IntN(4), 2+r.IntN(4))
	fmt.Fprintf(&b, "frontends %d zone dc-kewdale rate %d\nfrontends %d zone dc-malaga rate %d\n", 1+r.IntN(4), 6+r.IntN(12), 1+r.IntN(4), 6+r.IntN(12))
	fmt.Fprintf(&b, "mix 70%% 30%%\n")
	for range 2 + r.IntN(3) {
		t := troubles[r.IntN(len(troubles))].form
		length := fmt.Sprintf("%dms", 500+r.IntN(12)*500)
		line := strings.ReplaceAll(strings.ReplaceAll(t, "%s", length), "%%", "%")
		fmt.Fprintf(&b, "at %dms %s\n", 2000+r.IntN(80)*250, line)
	}
	return b.String()
}

// judge plays a script and says what broke, "" if nothing did.
func judge(script string) (what string, r Result, err error) {
	d, err := Read("search.day", script, File)
	if err != nil {
		return "", r, err
	}
	r, err = PlayVirtual(d, Options{})
	if err != nil {
		return "", r, err
	}
	if len(r.Failures) > 0 {
		return "defect", r, nil
	}
	for _, v := range r.Report.Rules {
		if v.Violations > 0 {
			return fmt.Sprintf("rule %d", v.Rule), r, nil
		}
	}
	return "", r, nil
}

// Search plays random scripts from a first seed on, on all cores, and shrinks what breaks anything. It calls found in
// the order of seeds; the same seeds find the same.
func Search(ctx context.Context, first uint64, n int, found func(Finding), played func(int)) error {
	type outcome struct {
		found *Finding
		err   error
	}
	results := make([]chan outcome, n)
	for i := range results {
		results[i] = make(chan outcome, 1)
	}
	next := make(chan int)
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Add(1)
		go func() {
			defer work.Done()
			for i := range next {
				f, err := try(first + uint64(i))
				results[i] <- outcome{f, err}
			}
		}()
	}
	go func() {
		defer close(next)
		for i := range n {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	var failed error
	for i := range n {
		select {
		case o := <-results[i]:
			if o.err != nil && failed == nil {
				failed = fmt.Errorf("seed %d: %w", first+uint64(i), o.err)
			}
			if o.found != nil {
				found(*o.found)
			}
			played(i + 1)
		case <-ctx.Done():
			work.Wait()
			return ctx.Err()
		}
	}
	work.Wait()
	return failed
}

func try(seed uint64) (*Finding, error) {
	script := RandomScript(seed)
	what, r, err := judge(script)
	if err != nil || what == "" {
		return nil, err
	}
	script, r = Minimize(script, what, r)
	return &Finding{seed, what, script, r}, nil
}

// Shrink makes a script shorter as long as the same thing still breaks on it: troubles go first, then what each needs
// of its time, then servers and front ends, then the end of the day.
func Minimize(script, what string, r Result) (string, Result) {
	lines := strings.Split(strings.TrimSpace(script), "\n")
	try := func(with []string) bool {
		text := strings.Join(with, "\n") + "\n"
		got, res, err := judge(text)
		if err != nil || got != what {
			return false
		}
		lines, r = with, res
		return true
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "at ") {
			try(slices.Delete(slices.Clone(lines), i, i+1))
		}
	}
	change := func(i int, words ...string) bool {
		with := slices.Clone(lines)
		with[i] = strings.Join(words, " ")
		return try(with)
	}
	for i := range lines {
		for range 4 {
			w := strings.Fields(lines[i])
			at := slices.Index(w, "for")
			var ms int
			if at < 0 || at+1 >= len(w) {
				break
			}
			if _, err := fmt.Sscanf(w[at+1], "%dms", &ms); err != nil || ms < 500 {
				break
			}
			w[at+1] = fmt.Sprintf("%dms", ms/2)
			if !change(i, w...) {
				break
			}
		}
	}
	for i := range lines {
		for range 8 {
			w := strings.Fields(lines[i])
			var n int
			if len(w) < 2 || w[0] != "servers" && w[0] != "frontends" && w[0] != "coordinators" {
				break
			}
			if _, err := fmt.Sscanf(w[1], "%d", &n); err != nil || n < 2 {
				break
			}
			w[1] = fmt.Sprint(n - 1)
			if !change(i, w...) {
				break
			}
		}
	}
	for i, l := range lines {
		if !strings.HasPrefix(l, "length ") {
			continue
		}
		for _, v := range r.Report.Rules {
			if what == fmt.Sprintf("rule %d", v.Rule) && len(r.Records) > 0 {
				change(i, "length", fmt.Sprintf("%ds", int(v.FirstTime-r.Records[0].T)+2))
			}
		}
	}
	return strings.Join(lines, "\n") + "\n", r
}
