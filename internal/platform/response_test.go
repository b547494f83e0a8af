package platform

import (
	"fmt"
	"testing"
)

// parseOutcome is the result of parsing a response.
type parseOutcome struct {
	status          int
	body            string
	complete, valid bool
}

// newParseOutcome returns the outcome for what responseParser.feed has returned.
func newParseOutcome(parsed *response, err error) parseOutcome {
	if parsed == nil {
		return parseOutcome{valid: err == nil}
	}
	return parseOutcome{parsed.status, string(parsed.body), true, err == nil}
}

// parseInPieces feeds data to a parser in pieces, up to the end of the response or the first error. pieceSize returns the size
// of the next piece for the number of bytes that are left.
func parseInPieces(data []byte, pieceSize func(left int) int) parseOutcome {
	parser := responseParser{maxBytes: 1 << 16}
	for len(data) > 0 {
		size := pieceSize(len(data))
		parsed, err := parser.feed(data[:size], false)
		if parsed != nil || err != nil {
			return newParseOutcome(parsed, err)
		}
		data = data[size:]
	}
	return newParseOutcome(parser.feed(nil, true))
}

// A response that is received in pieces must have the same result as in one piece: the same status and body, or an error in
// both cases.
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

// A chunked response that arrives in single bytes must not be parsed again from the start with each byte, which would take
// quadratic time.
func TestResponseInSingleBytesIsParsedOnce(t *testing.T) {
	body := endpointListJSON(41, true, 400, "127.0.0.1:1", 0)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	parser := responseParser{maxBytes: 1 << 20}
	for i := range text {
		parsed, err := parser.feed([]byte{text[i]}, false)
		if err != nil || (parsed != nil) != (i == len(text)-1) || parsed != nil && string(parsed.body) != body {
			t.Fatalf("after %d of %d bytes the parser returns response %v, error %v", i+1, len(text), parsed, err)
		}
	}
	if parser.parseCount > 3 {
		t.Errorf("the response was parsed %d times, want at most 3", parser.parseCount)
	}
}
