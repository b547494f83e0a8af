package host

import (
	"strings"
	"testing"
)

// Settings and events as the simulator sends them. cachedListEvents is two events: one defines a list, which includes
// hostsJSON, and one updates the instance to it.
const (
	settingsJSON     = `{"Profiles":[{"Name":"read","AimMs":500,"Effect":"idempotent","Worth":1}],"Zones":["a"],"Az":"a","Extra":{"Odd":[1,2]},"FamilyInfo":{"LevelKind":"ratio","MostWaiting":9000,"LinesPerS":9000,"ProxyCount":4},"Discovery":"on_request"}`
	startEvent       = `{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":18446744073709551615,"Conf":` + settingsJSON + `}}`
	hostsJSON        = `"Hosts":[{"Backend":9,"GenerationHw":"k","Readiness":"U","FailureDomain":"a","Heft":1,"UnitGroup":0}]}}`
	cachedListEvents = `{"Catalog":{"Table":0,` + hostsJSON + `,{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":0}}`
	joinEvent        = `{"Subscribed":{"CoordinatorId":"coordinator/0","Sidecar":1,"FailureDomain":"a","Heft":2,"Flag":true}}`
)

// batchLine returns a line of input with a batch of events.
func batchLine(events ...string) string {
	return `{"TMs":1000,"happened":[` + strings.Join(events, ",") + "]}\n"
}

// runLines runs a host with the lines as its input, and returns the lines of its output.
func runLines(t *testing.T, lines ...string) ([]string, error) {
	t.Helper()
	var out strings.Builder
	err := Run(strings.NewReader(strings.Join(lines, "")), &out)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), err
}

func TestEachBatchHasOneReply(t *testing.T) {
	out, err := runLines(t, batchLine(), batchLine(startEvent, cachedListEvents, joinEvent), batchLine())
	if err != nil || len(out) != 3 || out[0] != `{"orders":[]}` {
		t.Fatalf("three batches: got replies %q and error %v, want three replies, the first without commands", out, err)
	}
	for _, want := range []string{`"HandTable":{"CoordinatorId":"coordinator/0","Only":1`, `"Follow"`, `"Seal"`, `"SetWeight"`} {
		if !strings.Contains(out[1], want) {
			t.Fatalf("no %s in the reply %s", want, out[1])
		}
	}
}

func TestStoppedInstanceSendsNoCommands(t *testing.T) {
	stop := `{"Detach":{"CoordinatorId":"coordinator/0"}}`
	out, err := runLines(t, batchLine(startEvent, cachedListEvents), batchLine(joinEvent, stop), batchLine(startEvent, cachedListEvents, joinEvent, stop, startEvent, cachedListEvents))
	if err != nil || out[1] != `{"orders":[]}` {
		t.Fatalf("got replies %q and error %v, want no commands in the batch that stops the instance", out, err)
	}
	if strings.Contains(out[2], "HandTable") || !strings.Contains(out[2], "Follow") {
		t.Fatalf("the restarted instance has state of the stopped one: %s", out[2])
	}
}

// List numbers are reused within a batch. An update refers to the latest list that is defined before it under its number.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	other := strings.Replace(cachedListEvents, `"Backend":9`, `"Backend":10`, 1)
	other = strings.ReplaceAll(other, "coordinator/0", "coordinator/1")
	out, err := runLines(t, batchLine(startEvent, strings.ReplaceAll(startEvent, "coordinator/0", "coordinator/1"), cachedListEvents, other, joinEvent,
		strings.ReplaceAll(joinEvent, "coordinator/0", "coordinator/1")))
	if err != nil || !strings.Contains(out[0], `"Backend":9,"CoordinatorId":"coordinator/0"`) ||
		!strings.Contains(out[0], `"Backend":10,"CoordinatorId":"coordinator/1"`) {
		t.Fatalf("got replies %q and error %v, want backend 9 for instance 0 and backend 10 for instance 1", out, err)
	}
}

func TestMalformedBatches(t *testing.T) {
	for line, want := range map[string]string{
		"nonsense\n":                     "batch 2: not a batch",
		`{"TMs":"x","happened":[]}`:      "TMs",
		`{"TMs":1}`:                      "happened",
		batchLine(`{"Unheard":{}}`):      `unknown event "Unheard"`,
		batchLine(`{"Due":{"Token":1}}`): "CoordinatorId is missing",
		batchLine(`{"Due":{"CoordinatorId":"coordinator/0","Token":"x"}}`):                                                 "Token is malformed",
		batchLine(strings.ReplaceAll(joinEvent, "coordinator/0", "coordinator/7")):                                         "unknown instance",
		batchLine(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":3}}`):                       "undefined list: 3",
		batchLine(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"rumour","Epoch":1,"Table":0}}`):                     "Kind has an unknown value",
		batchLine(`{"Traffic":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"Sidecar":1}}`): "unknown method",
	} {
		_, err := runLines(t, batchLine(startEvent, cachedListEvents), line)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "batch 2") {
			t.Errorf("%.60s: got the error %v, want one with %q for batch 2", line, err, want)
		}
	}
}

// A panic of the module is reported by a command with the text of the panic.
func TestPanicFailsInstance(t *testing.T) {
	h := New()
	if _, err := h.Answer([]byte(batchLine(startEvent, cachedListEvents))); err != nil {
		t.Fatal(err)
	}
	h.instances["coordinator/0"].planner = nil
	out, err := h.Answer([]byte(batchLine(joinEvent)))
	if err != nil || !strings.Contains(string(out), `"Die"`) || !strings.Contains(string(out), "decision module failed") {
		t.Fatalf("got reply %s and error %v, want a Die command with the text of the panic", out, err)
	}
}
