package report

import (
	"bytes"
	"image/png"
	"math"
	"strings"
	"testing"

	"gingerfork/internal/invariant"
	"gingerfork/internal/trace"
)

var methods = []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 1}, {Name: "submit", Criticality: 2, SoftDeadline: 0.5}}

func day() (all []trace.Record) {
	for i := range 400 {
		t := 100 + float64(i)/20
		x := trace.Record{Time: t, Kind: trace.RPCFinished, Method: i % 2, Text: "ok", Value: 0.1}
		if t >= 105 && t < 110 && i%2 == 1 {
			x.Value = 0.7 // late for submit
		}
		all = append(all, x)
		if i == 100 {
			all = append(all, trace.Record{Time: t, Kind: trace.FaultInjected, Text: "hang servers 1 for 5s", Value: 5}, trace.Record{Time: t, Kind: trace.PushSent, Value: 7})
		}
	}
	return all
}

func TestFigures(t *testing.T) {
	r, err := Build(day(), methods)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Seconds) != 20 || r.Seconds[2].InTime != 20 || r.Seconds[6].Late != 10 || math.Abs(r.Seconds[6].Service()-1.0/3) > 1e-9 || r.Seconds[5].Entries != 7 {
		t.Errorf("%+v", r.Seconds)
	}
	if len(r.Faults) != 1 || r.Faults[0].From != 5 || r.Faults[0].To != 10 {
		t.Errorf("%+v", r.Faults)
	}
	if r.WorstMethod != "submit" || math.Abs(r.WorstMethodService-0.75) > 1e-9 || math.Abs(r.WorstTenSeconds-2.0/3) > 1e-9 || r.WorstTenSecondsStart != 0 {
		t.Errorf("%+v", r)
	}
	if l := r.Latencies[1]; l.Count != 200 || math.Abs(l.P50-0.1) > 0.001 || math.Abs(l.P90-0.7) > 0.002 {
		t.Errorf("%+v", l)
	}
	var b strings.Builder
	if r.WriteText(&b); !strings.Contains(b.String(), "poorest method submit: 0.750") {
		t.Error(b.String())
	}
	if _, err := Build([]trace.Record{{Kind: trace.RPCFinished, Method: 2}}, methods); err == nil {
		t.Error("an unknown method was taken")
	}
}

func TestPicture(t *testing.T) {
	r, _ := Build(day(), methods)
	var b bytes.Buffer
	if err := r.WritePNG(&b, "a day"); err != nil {
		t.Fatal(err)
	}
	img, err := png.Decode(&b)
	if err != nil {
		t.Fatal(err)
	}
	colours := map[[3]uint32]int{}
	for y := range img.Bounds().Dy() {
		for x := range img.Bounds().Dx() {
			r, g, b, _ := img.At(x, y).RGBA()
			colours[[3]uint32{r >> 8, g >> 8, b >> 8}]++
		}
	}
	if colours[[3]uint32{46, 125, 50}] < 500 || len(colours) < 10 {
		t.Fatalf("hardly anything is drawn: %d colours", len(colours))
	}
}
