package proto

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// readAll decodes all complete messages that were fed to the reader.
func readAll(t *rapid.T, reader *Reader) (messages []Message) {
	for {
		m, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m == nil {
			return messages
		}
		messages = append(messages, m)
	}
}

// A sequence of messages must be decoded unchanged, however the stream is split into pieces.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(trial *rapid.T) {
		sent := rapid.SliceOfN(anyMessage, 1, 6).Draw(trial, "messages")
		var stream []byte
		for _, m := range sent {
			stream = Append(stream, m)
		}
		var reader Reader
		reader.HandshakeDone()
		var got []Message
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(trial, "size")
			if rapid.Bool().Draw(trial, "one byte") {
				size = 1
			}
			reader.Feed(stream[:size])
			stream = stream[size:]
			got = append(got, readAll(trial, &reader)...)
		}
		if diff := cmp.Diff(sent, got); diff != "" || reader.Buffered() != 0 {
			trial.Fatalf("the decoded messages differ, %d bytes were left over: %s", reader.Buffered(), diff)
		}
	})
}

// frame returns a frame with the given bytes as its fields.
func frame(messageType MessageType, fields ...byte) []byte {
	buf := binary.BigEndian.AppendUint32(nil, uint32(len(fields)+1))
	buf = append(buf, byte(messageType))
	return append(buf, fields...)
}

func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// A malformed frame must cause an error of the right type and text (the text goes out on the wire), and all later calls must
// return the same error, also if a valid frame follows.
func TestMalformedFrames(t *testing.T) {
	for name, test := range map[string]struct {
		bytes  []byte
		want   string
		isType func(error) bool
	}{
		"empty":        {[]byte{0, 0, 0, 0}, "a frame of 0 bytes", isError[*frameSizeError]},
		"huge":         {[]byte{0xff, 0xff, 0xff, 0xff}, "a frame of 4294967295 bytes", isError[*frameSizeError]},
		"unknown type": {frame(99), "unknown type 99", isError[*unknownTypeError]},
		"short":        {frame(typeAcknowledgement), "ends within a field", isTruncated},
		"long":         {frame(typeAcknowledgement, 1, 1), "1 bytes too many", isError[*trailingBytesError]},
		"nonce": {
			frame(typeAcknowledgement, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10),
			"mark 9007199254740992, at most 9007199254740991", isError[*rangeError],
		},
		"not a number": {frame(typeReports, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0), "finite and 0 or above", isError[*numberError]},
		"below zero":   {frame(typeReports, 0xbf, 0xf0, 0, 0, 0, 0, 0, 0), "finite and 0 or above", isError[*numberError]},
		"failures": {
			frame(typeReports, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 3, 1, 2, 0, 0, 0, 0, 0, 0, 0, 0),
			"2 bad of 1 tries", isError[*failureCountError],
		},
		"forged count": {frame(typeWelcome, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f), "ends within a field", isTruncated},
		"not utf-8":    {frame(typeReject, 1, 0xff), "not UTF-8", func(err error) bool { return errors.Is(err, errNotUTF8) }},
	} {
		var reader Reader
		reader.Feed(test.bytes)
		_, err := reader.Next()
		if err == nil || !strings.Contains(err.Error(), test.want) || !test.isType(err) {
			t.Errorf("%s: got %T %v, want %s", name, err, err, test.want)
		}
		reader.Feed(Append(nil, Acknowledgement{1}))
		if _, again := reader.Next(); again == nil || again != err { //nolint:errorlint // the very same error is meant
			t.Errorf("%s: after a malformed frame the next call returned %v, want the same error", name, again)
		}
	}
}

func isTruncated(err error) bool { return errors.Is(err, errTruncated) }

// Until the handshake is done, a reader must refuse a frame above MaxHandshakeFrame, so that an unauthenticated party can't make
// it buffer more. After the handshake the same frame must be accepted.
func TestHandshakeFrameLimit(t *testing.T) {
	big := Append(nil, EndpointUpdate{Reason: strings.Repeat("x", 200), Endpoints: make([]Endpoint, 100)})
	var reader Reader
	reader.Feed(big)
	if _, err := reader.Next(); err == nil {
		t.Fatalf("a frame of %d bytes passed before the handshake", len(big))
	}
	var afterHandshake Reader
	afterHandshake.HandshakeDone()
	afterHandshake.Feed(big)
	if m, err := afterHandshake.Next(); err != nil || len(m.(EndpointUpdate).Endpoints) != 100 {
		t.Fatalf("the same frame after the handshake: got %v and error %v, want the message", m, err)
	}
}

// No input may make the decoder panic. A message that was decoded must have the same encoding after it was encoded and decoded
// once more.
func FuzzReader(f *testing.F) {
	f.Add(Append(nil, Hello{Version: 1, Name: "f0", Zone: "a", Rate: 5}))
	f.Add(Append(nil, Push{Sequence: 1, Ops: []TableOp{
		{Kind: OpBind, Entries: []TableEntry{{Backend: 1, Weight: 1, Addr: "x:1"}}},
		{Kind: OpExclude, Backends: []BackendID{7}},
	}}))
	f.Add(Append(nil, Reports{Span: 1, Attempts: []AttemptReport{{Backend: 3, Attempts: 4, Failures: 1, MeanLatency: .1}}}))
	f.Add(Append(nil, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Backend: 3, Zone: "a", Addr: "h:1"}}}))
	f.Add(append(Append(nil, Acknowledgement{7}), 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reader Reader
		reader.HandshakeDone()
		reader.Feed(data)
		for {
			m, err := reader.Next()
			if m == nil || err != nil {
				return
			}
			encoded := Append(nil, m)
			var second Reader
			second.HandshakeDone()
			second.Feed(encoded)
			got, err := second.Next()
			if err != nil || !bytes.Equal(Append(nil, got), encoded) {
				t.Fatalf("%#v was encoded and decoded as %#v, %v", m, got, err)
			}
		}
	})
}

// benchmarkEntries is the number of table entries in the push that the benchmark encodes and decodes.
const benchmarkEntries = 1000

func benchmarkPush() Push {
	push := Push{Sequence: 7, HasNonce: true, Nonce: 9}
	for backend := range BackendID(benchmarkEntries) {
		entry := TableEntry{Backend: backend, Weight: 1.5, Addr: "127.0.0.1:7501"}
		push.Ops = append(push.Ops, TableOp{Kind: OpSetEntry, Table: 4, Entries: []TableEntry{entry}})
	}
	return push
}

func reportEntryTime(b *testing.B) {
	b.Helper()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchmarkEntries, "ns/entry")
}

func BenchmarkTableEntries(b *testing.B) {
	push := benchmarkPush()
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		var buf []byte
		for range b.N {
			buf = Append(buf[:0], push)
		}
		reportEntryTime(b)
		b.ReportMetric(float64(len(buf))/benchmarkEntries, "bytes/entry")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		buf := Append(nil, push)
		for range b.N {
			var reader Reader
			reader.HandshakeDone()
			reader.Feed(buf)
			if _, err := reader.Next(); err != nil {
				b.Fatal(err)
			}
		}
		reportEntryTime(b)
	})
}
