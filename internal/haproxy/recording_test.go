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

var updateRecording = flag.Bool("update-recording", false, "write testdata/recording.sum anew instead of comparing with it")

const recordingFile = "testdata/recording.sum"

// TestRecording holds all that the importer writes to a stored checksum: each sample, the page of keywords, and files that
// are drawn from a fixed seed, by groups, so that a difference can be found.
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
		entry("sample "+file.Name(), func(out io.Writer) { recordImport(out, []Source{{"a.cfg", text}}, recordingGiven()) })
	}
	entry("page", WriteKeywords)
	entry("values", recordValues)
	entry("bounds", recordBounds)
	const groups, perGroup = 20, 200
	for group := range groups {
		draw := recordingDraw{rand.New(rand.NewPCG(uint64(group), 1))}
		entry(fmt.Sprintf("mutated %d", group), func(out io.Writer) {
			for range perGroup {
				recordImport(out, []Source{{"a.cfg", draw.mutation(texts)}}, recordingGiven())
			}
		})
		entry(fmt.Sprintf("composed %d", group), func(out io.Writer) {
			for range perGroup {
				sources := []Source{{"a.cfg", draw.file()}}
				if draw.IntN(4) == 0 {
					sources = append(sources, Source{"b.cfg", draw.file()})
				}
				recordImport(out, sources, recordingGiven())
			}
		})
	}
	compareRecording(t, sums.String())
}

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
	wanted, got := strings.Split(string(want), "\n"), strings.Split(sums, "\n")
	if len(wanted) != len(got) {
		t.Fatalf("%d recorded entries, %d wanted", len(got), len(wanted))
	}
	for i := range wanted {
		if got[i] != wanted[i] {
			t.Errorf("recorded %q, %q wanted", got[i], wanted[i])
		}
	}
}

func recordingGiven() Environment {
	return Environment{
		Variables: map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""},
		Version:   "2.8.3",
		Features:  []string{"QUIC", "LUA"},
	}
}

// recordImport writes all that callers can see of an import.
func recordImport(out io.Writer, sources []Source, given Environment) {
	got := Read(sources, given)
	type report struct {
		File            string
		Line, Col       int
		Text, What, Why string
	}
	var reports []report
	for _, note := range got.Notes {
		place := note.Line.Position
		reports = append(reports, report{place.File, place.Line, place.Column, note.Text(), note.Class.String(), note.Reason})
		fmt.Fprintf(out, "%s: %s: %s: %s\n", place, note.Class, note.Text(), note.Reason)
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
	for _, change := range Diff(Read([]Source{{"a.cfg", routed}}, given), got) {
		fmt.Fprintf(out, "%q %q %q %q\n", change.Pool, change.Server, change.Before, change.After)
	}
}

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

// recordValues writes what becomes of single values.
func recordValues(out io.Writer) {
	for _, value := range recordingValues {
		duration, err := parseDuration(value)
		fmt.Fprintln(out, duration, err)
		size, err := parseSize(value)
		fmt.Fprintln(out, size, err)
		address, err := parseAddress(value)
		fmt.Fprintln(out, address.Family, address.Host, address.Port, address.Offset, address.Last, address.String(), err)
	}
}

// recordBounds writes what becomes of files at the importer's bounds: the most methods of a pool, the most rows of a route,
// the deepest condition and the most arguments of a line.
func recordBounds(out io.Writer) {
	for _, count := range []int{64, 65, 70} {
		var text strings.Builder
		text.WriteString("frontend f\n")
		for i := range count {
			fmt.Fprintf(&text, "use_backend p if { path /%d }\n", i)
		}
		recordImport(out, []Source{{"a.cfg", text.String() + "backend p\nserver a h:1\n"}}, recordingGiven())
	}
	for _, count := range []int{10, 11, 101} {
		text := "frontend f\n" + strings.Repeat("acl x path /a\n", count)
		recordImport(out, []Source{{"a.cfg", text + "use_backend p if x x\nuse_backend p if x\nbackend p\nserver a h:1\n"}}, recordingGiven())
		recordImport(out, []Source{{"a.cfg", text + "use_backend p if x or x\nbackend p\nserver a h:1\n"}}, recordingGiven())
	}
	for _, depth := range []int{198, 199, 200, 201} {
		text := ".if " + strings.Repeat("!", depth) + "1\nbackend p\nserver a h:1\n.endif\n" + "log " + strings.Repeat("x ", depth-136)
		recordImport(out, []Source{{"a.cfg", text}}, recordingGiven())
	}
	recordImport(out, []Source{{"a.cfg", "backend p\nserver a h:1\n"}}, Environment{Version: "x.y"})
	recordImport(out, []Source{{"a.cfg", ".if version_atleast(3.0)\nbackend p\nserver a h:1\n.endif"}}, Environment{Version: "x.y"})
	recordImport(out, []Source{{"a.cfg", ".if version_atleast(3.0.0.1-dev)\nbackend p\nserver a h:1\n.endif"}}, Environment{})
}

var recordingValues = strings.Fields(`0 1 5 -1 256 257 300 65535 65536 5us 5ms 5s 30s 5m 2h 1d 1x 1k 16K 2m 3g 9999999999999g 99999999999
	h:1 h:2 10.0.0.1:80 1.1.1.1 h h: :80 [::1]:80 [::1] [::1 [::1]x ::1:80 ipv4@1.1.1.1:1 ipv6@[::1]:1 unix@/a unix@ /run/a abns@x fd@3
	sockpair@4 quic4@1.1.1.1:443 udp@h:1 tcp4@h:2 rhttp@x h:+1 h:-1 h:1-3 h:3-1 h:x h:70000 *:80 soon 1-3 2 a-b 3-20000`)
