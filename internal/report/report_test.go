package report

import (
	"bytes"
	"encoding/json"
	"image/png"
	"math"
	"strings"
	"testing"

	"gingerfork/internal/invariant"
	"gingerfork/internal/trace"
)

var testMethods = []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 1}, {Name: "submit", Criticality: 2, SoftDeadline: 0.5}}

// makeRecords returns a trace of 20 s with a fault from 5 s to 10 s, during which the method submit is answered late.
func makeRecords() (records []trace.Record) {
	const start = 100
	for i := range 400 {
		at := start + float64(i)/20
		record := trace.Record{Time: at, Kind: trace.RPCFinished, Method: i % 2, Text: "ok", Value: 0.1}
		if at >= start+5 && at < start+10 && i%2 == 1 {
			record.Value = 0.7 // above the soft deadline of submit
		}
		records = append(records, record)
		if i == 100 {
			records = append(records,
				trace.Record{Time: at, Kind: trace.FaultInjected, Text: "hang servers 1 for 5s", Value: 5},
				trace.Record{Time: at, Kind: trace.PushSent, Value: 7})
		}
	}
	return records
}

func TestBuild(t *testing.T) {
	report, err := Build(makeRecords(), testMethods)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Seconds) != 20 || report.Seconds[2].InTime != 20 || report.Seconds[6].Late != 10 ||
		math.Abs(report.Seconds[6].Service()-1.0/3) > 1e-9 || report.Seconds[5].Entries != 7 {
		t.Errorf("seconds %+v", report.Seconds)
	}
	if len(report.Faults) != 1 || report.Faults[0].From != 5 || report.Faults[0].To != 10 {
		t.Errorf("faults %+v", report.Faults)
	}
	if report.WorstMethod != "submit" || math.Abs(report.WorstMethodService-0.75) > 1e-9 || math.Abs(report.WorstTenSeconds-2.0/3) > 1e-9 ||
		report.WorstTenSecondsStart != 0 {
		t.Errorf("report %+v", report)
	}
	if l := report.Latencies[1]; l.Count != 200 || math.Abs(l.P50-0.1) > 0.001 || math.Abs(l.P90-0.7) > 0.002 {
		t.Errorf("latency %+v", l)
	}
	var text strings.Builder
	if report.WriteText(&text); !strings.Contains(text.String(), "worst method submit: service 0.750") {
		t.Errorf("unexpected summary: %s", text.String())
	}
	if _, err := Build([]trace.Record{{Kind: trace.RPCFinished, Method: 2}}, testMethods); err == nil {
		t.Error("a record of an unknown method was accepted")
	}
}

// TestJSONKeys guards against a change of the JSON keys, which are the names that earlier versions used.
func TestJSONKeys(t *testing.T) {
	report, err := Build([]trace.Record{
		{Time: 1, Kind: trace.RPCFinished, Text: "ok", Value: 0.25},
		{Time: 1, Kind: trace.RPCFinished, Text: "pushed back"},
		{Time: 1, Kind: trace.FaultInjected, Text: "hang", Value: 5},
		{Time: 1, Kind: trace.BackendSampled, Backend: 1, Value: 30, Text: "0.5", Count: 4},
		{Time: 1, Kind: trace.ScheduleDelay, Value: 0.5},
	}, testMethods[:1])
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Seconds":[{"InTime":1,"Late":0,"PushedBack":1,"Aborted":0,"Asked":2,"Weighed":1,"Messages":0,"Lines":0}],` +
		`"Troubles":[{"From":0,"To":0,"Text":"hang"}],` +
		`"Latencies":[{"Method":"read","N":1,"P50":0.250111,"P90":0.250111,"P99":0.250111,"Worst":0.250111}],` +
		`"Worst10":1,"WorstAt":0,"Poorest":"read","PoorestBy":0.5,` +
		`"Fleet":{"Step":1,"Able":[[30]],"Busy":[[0.5]],"Waits":[[4]],"Most":0},"Service":0.5,"Behind":{"Looks":1,"Late":1,"Worst":0.5}}`
	if string(data) != want {
		t.Errorf("JSON:\n%s\nwanted:\n%s", data, want)
	}
}

func TestWritePNG(t *testing.T) {
	report, err := Build(makeRecords(), testMethods)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := report.WritePNG(&file, "a day"); err != nil {
		t.Fatal(err)
	}
	picture, err := png.Decode(&file)
	if err != nil {
		t.Fatal(err)
	}
	pixels := map[[3]uint32]int{} // by color
	for y := range picture.Bounds().Dy() {
		for x := range picture.Bounds().Dx() {
			r, g, b, _ := picture.At(x, y).RGBA()
			pixels[[3]uint32{r >> 8, g >> 8, b >> 8}]++
		}
	}
	if pixels[[3]uint32{46, 125, 50}] < 500 || len(pixels) < 10 {
		t.Fatalf("the picture is almost empty: it has %d colors", len(pixels))
	}
}
