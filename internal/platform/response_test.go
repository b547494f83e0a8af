package platform

import (
	"fmt"
	"testing"
)

// parseResult is what a parser makes of a response.
type parseResult struct {
	status          int
	body            string
	complete, valid bool
}

func newParseResult(parsed *response, err error) parseResult {
	if parsed == nil {
		return parseResult{valid: err == nil}
	}
	return parseResult{parsed.status, string(parsed.body), true, err == nil}
}

// parseInPieces feeds pieces whose sizes a function chooses.
func parseInPieces(data []byte, size func(left int) int) parseResult {
	parser := responseParser{maxBytes: 1 << 16}
	for len(data) > 0 {
		n := size(len(data))
		parsed, err := parser.feed(data[:n], false)
		if parsed != nil || err != nil {
			return newParseResult(parsed, err)
		}
		data = data[n:]
	}
	return newParseResult(parser.feed(nil, true))
}

// FuzzResponseParser compares a response in pieces with the same response in one piece: status, body, and whether it can be
// parsed at all.
func FuzzResponseParser(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n\r\n\r\n\r\n3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n{\"seq\":1}",
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "noise\r\n\r\n", "",
	} {
		f.Add([]byte(text), uint64(1))
		f.Add([]byte(text), uint64(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, seed uint64) {
		if len(data) > 1<<14 {
			return
		}
		atOnce := parseInPieces(data, func(left int) int { return left })
		inBytes := parseInPieces(data, func(int) int { return 1 })
		inPieces := parseInPieces(data, func(left int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return 1 + int(seed>>33)%left
		})
		if atOnce != inBytes || atOnce != inPieces {
			t.Errorf("in one piece %+v, in single bytes %+v, in pieces %+v", atOnce, inBytes, inPieces)
		}
	})
}

// A list that comes in chunks and in single bytes is parsed a few times, not once a byte.
func TestResponseInSingleBytesIsParsedOnce(t *testing.T) {
	body := listBody(41, true, 400, "127.0.0.1:1", 0)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	parser := responseParser{maxBytes: 1 << 20}
	for i := range text {
		parsed, err := parser.feed([]byte{text[i]}, false)
		if err != nil || (parsed != nil) != (i == len(text)-1) || parsed != nil && string(parsed.body) != body {
			t.Fatalf("after %d of %d bytes: response %v, %v", i+1, len(text), parsed, err)
		}
	}
	if parser.parseCount > 3 {
		t.Errorf("it was parsed %d times", parser.parseCount)
	}
}
