package endpointservice

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

var terms = endpointfile.Settings{DrainPeriod: 10, MaxLossShare: 0.5}

func servers(n int, weight float64) (all []endpointfile.Backend) {
	for i := range n {
		all = append(all, endpointfile.Backend{ID: uint32(i + 1), Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("h:%d", i), Weight: weight})
	}
	return all
}

// driven is a service with watchers, stepped by hand.
type driven struct {
	t     *testing.T
	s     *Service
	now   float64
	kept  []byte
	heard map[statemachine.Conn][]string
	errs  []string
}

func drive(t *testing.T, kept []byte, now float64) *driven {
	d := &driven{t: t, now: now, heard: map[statemachine.Conn][]string{}, kept: kept}
	var err error
	if d.s, err = New("list", "z", terms, kept, func(_ int, err error) {
		if err != nil {
			d.errs = append(d.errs, err.Error())
		}
	}); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *driven) step(after float64, in ...statemachine.Input) {
	d.now += after
	out := &statemachine.Effects{}
	out.Reset()
	d.s.Step(d.now, in, out)
	if data, saved := out.Files[StateFile]; saved {
		d.kept = data
	}
	for _, a := range out.Actions {
		if a.Kind != statemachine.ActionWrite {
			d.heard[a.Conn] = append(d.heard[a.Conn], "closed")
			continue
		}
		var r proto.Reader
		r.HandshakeDone()
		r.Feed(a.Data)
		for m, _ := r.Next(); m != nil; m, _ = r.Next() {
			switch m := m.(type) {
			case proto.EndpointUpdate:
				if m.Kind == proto.UpdateDelta && len(m.Endpoints) == 0 {
					continue // a sign of life
				}
				text := fmt.Sprintf("%s %d-%d", []string{"full", "changes", "error"}[m.Kind], m.BaseVersion, m.Version)
				for _, e := range m.Endpoints {
					text += fmt.Sprintf(" %d%s%g", e.Backend, []string{"gone", "open", "draining"}[e.State], e.Weight)
				}
				d.heard[a.Conn] = append(d.heard[a.Conn], text)
			case proto.Reject:
				d.heard[a.Conn] = append(d.heard[a.Conn], "refused")
			}
		}
	}
	if out.WakeAt > d.now+1.01 {
		d.t.Fatal("it would not show a sign of life in a second")
	}
}

func (d *driven) watch(c statemachine.Conn, since uint64) {
	d.step(0, statemachine.Input{Kind: statemachine.ConnOpened, Conn: c}, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: proto.Append(
		proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleWatcher, Name: "c0"}), proto.WatchEndpoints{On: true, SinceVersion: since})})
}

func (d *driven) want(c statemachine.Conn, all ...string) {
	d.t.Helper()
	if got, want := strings.Join(d.heard[c], "; "), strings.Join(all, "; "); got != want {
		d.t.Fatalf("heard %q, %q wanted", got, want)
	}
	d.heard[c] = nil
}

// A changed file goes as what changed: one weight is one entry; what left drains, then is gone; a watcher that held an
// older version hears what it lacks, one of an unknown version all.
func TestChangesGoAsChanges(t *testing.T) {
	d := drive(t, nil, 100)
	d.watch(1, 0)
	d.want(1, "error 0-0")
	d.s.Submit(servers(3, 1))
	d.step(0.1)
	d.want(1, "full 0-1 1open1 2open1 3open1")
	s := servers(3, 1)
	s[1].Weight = 5
	d.s.Submit(s)
	d.step(1)
	d.want(1, "changes 1-2 2open5")
	d.s.Submit(s[:2])
	d.step(1)
	d.want(1, "changes 2-3 3draining1")
	d.watch(2, 1)
	d.want(2, "changes 1-3 2open5 3draining1")
	d.watch(3, 77)
	d.want(3, "full 77-3 1open1 2open5 3draining1")
	d.step(9.9)
	d.want(1)
	d.step(0.2)
	d.want(1, "changes 3-4 3gone1")
	d.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: 3, Data: proto.Append(nil, proto.FetchEndpoints{})}, statemachine.Input{Kind: statemachine.ConnData, Conn: 2, Data: proto.Append(nil, proto.ReportsReceived{})})
	d.want(3, "changes 3-4 3gone1", "full 0-4 1open1 2open5")
	d.want(2, "changes 3-4 3gone1", "refused", "closed")
}

// A restart between the old file and the new: what the new one dropped drains, as if the service had never been away; and
// a file that was cut short is held back across a restart, too.
func TestRestartBetweenFiles(t *testing.T) {
	d := drive(t, nil, 100)
	d.s.Submit(servers(4, 1))
	d.step(0.1)
	again := drive(t, d.kept, 200)
	again.watch(1, 1)
	again.want(1)
	again.s.Submit(servers(3, 1))
	again.step(0.1)
	again.want(1, "changes 1-2 4draining1")
	third := drive(t, again.kept, 205)
	third.watch(1, 0)
	third.want(1, "full 0-2 1open1 2open1 3open1 4draining1")
	third.s.Submit(servers(1, 1)) // two of three lost
	third.step(0.1)
	third.want(1)
	if len(third.errs) != 1 {
		t.Fatal(third.errs)
	}
	third.step(5.1)
	third.want(1, "changes 2-3 4gone1")
	fourth := drive(t, third.kept, 300)
	fourth.s.Submit(servers(1, 1))
	fourth.step(0.1)
	fourth.watch(1, 0)
	if fourth.want(1, "full 0-4 1open1 2draining1 3draining1"); len(fourth.errs) > 0 {
		t.Fatal("offered a second time after a restart, it was held back again")
	}
	if s, err := New("x", "z", terms, []byte("{"), nil); err == nil || s == nil {
		t.Error("a damaged file of what was kept was taken for good")
	}
}
