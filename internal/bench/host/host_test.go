package host

import (
	"strings"
	"testing"
)

const (
	conf   = `{"Profiles":[{"Name":"read","AimMs":500,"Effect":"idempotent","Worth":1}],"Zones":["a"],"Az":"a","Extra":{"Odd":[1,2]},"FamilyInfo":{"LevelKind":"ratio","MostWaiting":9000,"LinesPerS":9000,"ProxyCount":4},"Discovery":"on_request"}`
	enlist = `{"Enlist":{"CoordinatorId":"coordinator/0","Entropy":18446744073709551615,"Conf":` + conf + `}}`
	hosts  = `"Hosts":[{"Backend":9,"GenerationHw":"k","Readiness":"U","FailureDomain":"a","Heft":1,"UnitGroup":0}]}}`
	disk   = `{"Catalog":{"Table":0,` + hosts + `,{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":0}}`
	join   = `{"Subscribed":{"CoordinatorId":"coordinator/0","Sidecar":1,"FailureDomain":"a","Heft":2,"Flag":true}}`
)

func batch(events ...string) string {
	return `{"TMs":1000,"happened":[` + strings.Join(events, ",") + "]}\n"
}

func run(t *testing.T, lines ...string) ([]string, error) {
	t.Helper()
	var out strings.Builder
	err := Run(strings.NewReader(strings.Join(lines, "")), &out)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), err
}

func TestEachBatchHasOneReply(t *testing.T) {
	out, err := run(t, batch(), batch(enlist, disk, join), batch())
	if err != nil || len(out) != 3 || out[0] != `{"orders":[]}` {
		t.Fatalf("%q %v", out, err)
	}
	for _, want := range []string{`"HandTable":{"CoordinatorId":"coordinator/0","Only":1`, `"Follow"`, `"Seal"`, `"SetWeight"`} {
		if !strings.Contains(out[1], want) {
			t.Fatalf("no %s in %s", want, out[1])
		}
	}
}

func TestStoppedInstanceSendsNoCommands(t *testing.T) {
	stop := `{"Detach":{"CoordinatorId":"coordinator/0"}}`
	out, err := run(t, batch(enlist, disk), batch(join, stop), batch(enlist, disk, join, stop, enlist, disk))
	if err != nil || out[1] != `{"orders":[]}` {
		t.Fatalf("%q %v", out, err)
	}
	if strings.Contains(out[2], "HandTable") || !strings.Contains(out[2], "Follow") {
		t.Fatalf("the restarted instance has state of the stopped one: %s", out[2])
	}
}

// List numbers are reused within a batch: an update refers to the list that was last defined before it.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	other := strings.Replace(disk, `"Backend":9`, `"Backend":10`, 1)
	other = strings.ReplaceAll(other, "coordinator/0", "coordinator/1")
	out, err := run(t, batch(enlist, strings.ReplaceAll(enlist, "coordinator/0", "coordinator/1"), disk, other, join,
		strings.ReplaceAll(join, "coordinator/0", "coordinator/1")))
	if err != nil || !strings.Contains(out[0], `"Backend":9,"CoordinatorId":"coordinator/0"`) ||
		!strings.Contains(out[0], `"Backend":10,"CoordinatorId":"coordinator/1"`) {
		t.Fatalf("%q %v", out, err)
	}
}

func TestMalformedBatches(t *testing.T) {
	for line, want := range map[string]string{
		"nonsense\n":                 "batch 2: not a batch",
		`{"TMs":"x","happened":[]}`:  "TMs",
		`{"TMs":1}`:                  "happened",
		batch(`{"Unheard":{}}`):      `unknown event "Unheard"`,
		batch(`{"Due":{"Token":1}}`): "CoordinatorId is missing",
		batch(`{"Due":{"CoordinatorId":"coordinator/0","Token":"x"}}`):                                                 "Token is mistyped",
		batch(strings.ReplaceAll(join, "coordinator/0", "coordinator/7")):                                              "unknown instance",
		batch(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"disk","Epoch":1,"Table":3}}`):                       "undefined list: 3",
		batch(`{"Members":{"CoordinatorId":"coordinator/0","Kind":"rumour","Epoch":1,"Table":0}}`):                     "Kind has an unknown value",
		batch(`{"Traffic":{"CoordinatorId":"coordinator/0","OverMs":1,"Category":"x","Count":1,"Bad":0,"Sidecar":1}}`): "unknown method",
	} {
		_, err := run(t, batch(enlist, disk), line)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "batch 2") {
			t.Errorf("%.60s: got %v, want %s", line, err, want)
		}
	}
}

// A panic of the module is reported by a command with the panic's text.
func TestPanicFailsInstance(t *testing.T) {
	h := New()
	if _, err := h.Answer([]byte(batch(enlist, disk))); err != nil {
		t.Fatal(err)
	}
	h.instances["coordinator/0"].planner = nil
	out, err := h.Answer([]byte(batch(join)))
	if err != nil || !strings.Contains(string(out), `"Die"`) || !strings.Contains(string(out), "decision module failed") {
		t.Fatalf("%s %v", out, err)
	}
}
