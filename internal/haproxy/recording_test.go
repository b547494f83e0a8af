package haproxy

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

var updateRecording = flag.Bool("update-recording", false, "write testdata/recording.sum instead of comparing with it")

// recordingFile has a checksum for each entry that TestRecording records.
const recordingFile = "testdata/recording.sum"

// TestRecording compares checksums of all that the importer writes with stored ones, so that no change of its output goes
// unnoticed. The inputs are the samples, the page of keywords, single values, files at the importer's limits, and files that are
// drawn with fixed seeds. The drawn files are divided into groups with a checksum each, so that a difference can be located.
func TestRecording(t *testing.T) {
	var sums strings.Builder
	entry := func(name string, write func(io.Writer)) {
		hash := sha256.New()
		write(hash)
		fmt.Fprintf(&sums, "%x %s\n", hash.Sum(nil), name)
	}
	files, err := samples.ReadDir("samples")
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, file := range files {
		text := sample(t, file.Name())
		if file.Name() != "many.cfg" { // It is long and repeats one kind of line.
			texts = append(texts, text)
		}
		entry("sample "+file.Name(), func(out io.Writer) { recordImport(out, []Source{{"a.cfg", text}}, recordingEnvironment()) })
	}
	entry("page", WriteKeywords)
	entry("values", recordValues)
	entry("bounds", recordBounds)
	const groups, filesPerGroup = 20, 200
	for group := range groups {
		draw := recordingDraw{rand.New(rand.NewPCG(uint64(group), 1))}
		entry(fmt.Sprintf("mutated %d", group), func(out io.Writer) {
			for range filesPerGroup {
				recordImport(out, []Source{{"a.cfg", draw.mutation(texts)}}, recordingEnvironment())
			}
		})
		entry(fmt.Sprintf("composed %d", group), func(out io.Writer) {
			for range filesPerGroup {
				sources := []Source{{"a.cfg", draw.file()}}
				if draw.IntN(4) == 0 {
					sources = append(sources, Source{"b.cfg", draw.file()})
				}
				recordImport(out, sources, recordingEnvironment())
			}
		})
	}
	compareRecording(t, sums.String())
}

// compareRecording compares checksums with the stored ones, or stores them if the flag update-recording is set.
func compareRecording(t *testing.T, sums string) {
	t.Helper()
	if *updateRecording {
		if err := os.WriteFile(recordingFile, []byte(sums), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(recordingFile)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(sums, "\n")
	if len(wantLines) != len(gotLines) {
		t.Fatalf("got %d lines of checksums, want %d", len(gotLines), len(wantLines))
	}
	for i := range wantLines {
		if gotLines[i] != wantLines[i] {
			t.Errorf("got checksum %q, want %q", gotLines[i], wantLines[i])
		}
	}
}

// recordingEnvironment returns the environment of the recorded imports.
func recordingEnvironment() Environment {
	return Environment{
		Variables: map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""},
		Version:   "2.8.3",
		Features:  []string{"QUIC", "LUA"},
	}
}

// recordImport imports files and writes everything that callers can see of the result.
func recordImport(out io.Writer, sources []Source, environment Environment) {
	got := Read(sources, environment)
	type report struct { // The names of the fields are part of the recorded text.
		File            string
		Line, Col       int
		Text, What, Why string
	}
	var reports []report
	for _, note := range got.Notes {
		position := note.Line.Position
		reports = append(reports, report{position.File, position.Line, position.Column, note.Text(), note.Class.String(), note.Reason})
		fmt.Fprintf(out, "%s: %s: %s: %s\n", position, note.Class, note.Text(), note.Reason)
		for _, token := range note.Line.Tokens {
			fmt.Fprintf(out, "%d %t %q ", token.Column, token.Quoted, token.Text)
		}
	}
	for _, fault := range got.Faults {
		reports = append(reports, report{fault.File, fault.Line, fault.Column, "", "refused", fault.Message})
		fmt.Fprintf(out, "%s %d\n", fault.String(), fault.Column)
	}
	if err := json.NewEncoder(out).Encode(reports); err != nil {
		fmt.Fprintln(out, err)
	}
	for _, file := range got.Files {
		fmt.Fprintf(out, "%q %d %q\n", file.Name, len(file.Lines), file.Text())
	}
	for _, route := range got.Routes {
		fmt.Fprintf(out, "%s %s %s: %s\n", route.Frontend, route.Pool, route.Method, route)
	}
	for _, pool := range got.Pools {
		recordPool(out, got, pool)
	}
	fmt.Fprintln(out, got.Counts())
	for _, change := range Diff(Read([]Source{{"a.cfg", routedConfig}}, environment), got) {
		fmt.Fprintf(out, "%q %q %q %q\n", change.Pool, change.Server, change.Before, change.After)
	}
}

// recordPool writes everything that callers can see of a pool.
func recordPool(out io.Writer, imported Import, pool Pool) {
	fmt.Fprintf(out, "%s %d %q %q %q %v %d\n", pool.Position, pool.Column, pool.Name, pool.Mode, pool.Pick, pool.Deadline, pool.Retries)
	for _, server := range pool.Servers {
		fmt.Fprintf(out, "%s %d %q %q %d %t %t %v %d %q %s\n", server.Position, server.Column, server.Name, server.Addr, server.Weight, server.Backup, server.Disabled,
			server.SlowStart, server.ID, server.Track, server.State)
	}
	io.WriteString(out, pool.EndpointList()+pool.Settings(imported.Routes))
	for _, name := range []string{pool.Name, ""} {
		servers, err := imported.Servers(name)
		for _, server := range servers {
			fmt.Fprintf(out, "%d %q %q %v %t\n", server.ID, server.Name, server.Addr, server.Weight, server.Draining)
		}
		fmt.Fprintln(out, err)
	}
}

// recordValues writes the results of parsing recordingValues as times, sizes and addresses.
func recordValues(out io.Writer) {
	for _, value := range recordingValues {
		duration, err := parseDuration(value)
		fmt.Fprintln(out, duration, err)
		size, err := parseSize(value)
		fmt.Fprintln(out, size, err)
		address, err := parseAddress(value)
		fmt.Fprintln(out, address.Family, address.Host, address.Port, address.RelativePort, address.LastPort, address.String(), err)
	}
}

// recordBounds writes the results of importing files at the limits of the importer and beyond: the number of methods of a pool, the
// number of conjunctions of a route, the nesting of a condition and the number of arguments of a line.
func recordBounds(out io.Writer) {
	for _, count := range []int{64, 65, 70} {
		var text strings.Builder
		text.WriteString("frontend f\n")
		for i := range count {
			fmt.Fprintf(&text, "use_backend p if { path /%d }\n", i)
		}
		recordImport(out, []Source{{"a.cfg", text.String() + "backend p\nserver a h:1\n"}}, recordingEnvironment())
	}
	for _, count := range []int{10, 11, 101} {
		text := "frontend f\n" + strings.Repeat("acl x path /a\n", count)
		recordImport(out, []Source{{"a.cfg", text + "use_backend p if x x\nuse_backend p if x\nbackend p\nserver a h:1\n"}}, recordingEnvironment())
		recordImport(out, []Source{{"a.cfg", text + "use_backend p if x or x\nbackend p\nserver a h:1\n"}}, recordingEnvironment())
	}
	for _, depth := range []int{198, 199, 200, 201} {
		text := ".if " + strings.Repeat("!", depth) + "1\nbackend p\nserver a h:1\n.endif\n" + "log " + strings.Repeat("x ", depth-136)
		recordImport(out, []Source{{"a.cfg", text}}, recordingEnvironment())
	}
	recordImport(out, []Source{{"a.cfg", "backend p\nserver a h:1\n"}}, Environment{Version: "x.y"})
	recordImport(out, []Source{{"a.cfg", ".if version_atleast(3.0)\nbackend p\nserver a h:1\n.endif"}}, Environment{Version: "x.y"})
	recordImport(out, []Source{{"a.cfg", ".if version_atleast(3.0.0.1-dev)\nbackend p\nserver a h:1\n.endif"}}, Environment{})
}

// recordingValues are valid and invalid times, sizes, addresses and ranges.
var recordingValues = strings.Fields(`0 1 5 -1 256 257 300 65535 65536 5us 5ms 5s 30s 5m 2h 1d 1x 1k 16K 2m 3g 9999999999999g 99999999999
	h:1 h:2 10.0.0.1:80 1.1.1.1 h h: :80 [::1]:80 [::1] [::1 [::1]x ::1:80 ipv4@1.1.1.1:1 ipv6@[::1]:1 unix@/a unix@ /run/a abns@x fd@3
	sockpair@4 quic4@1.1.1.1:443 udp@h:1 tcp4@h:2 rhttp@x h:+1 h:-1 h:1-3 h:3-1 h:x h:70000 *:80 soon 1-3 2 a-b 3-20000`)
