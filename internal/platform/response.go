package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// response is a complete HTTP response.
type response struct {
	status   int
	body     []byte
	reusable bool // the connection can be used for another request
}

// responseParser collects the bytes of one HTTP response until net/http can parse them: first the header once that is
// complete, then the whole response once that is complete. Given less, net/http would report a truncated response, and it
// would have to parse from the start again with each piece that is received.
type responseParser struct {
	buffer        []byte // all bytes received
	maxBytes      int    // limit on the size of the response; reset keeps this limit
	headerScanned int    // number of bytes of buffer that were searched for the end of the header
	headerRead    bool   // the header was parsed
	chunked       bool
	contentLength int  // of the body in bytes; -1 if unknown
	offset        int  // offset in buffer of the body or, if chunked, of the next chunk
	inTrailer     bool // the last chunk was passed, and only trailer lines follow
	parseCount    int  // number of calls of http.ReadResponse so far
}

const (
	maxHeaderBytes      = 1 << 14
	maxChunkHeaderBytes = 1 << 12 // of the line before a chunk, and of a line in the trailer
	maxContentLength    = 1 << 40 // a longer response is treated as this long
)

// Errors of responseParser.feed. The last two are wrapped together with an error of net/http.
var (
	errResponseTooLong   = errors.New("HTTP response is too long")
	errInvalidResponse   = errors.New("invalid HTTP response")
	errResponseTruncated = errors.New("HTTP response is truncated")
)

// feed appends received data. It returns the response once that is complete, and nil before. ended says that no more data
// will come.
func (p *responseParser) feed(data []byte, ended bool) (*response, error) {
	p.buffer = append(p.buffer, data...)
	if len(p.buffer) > p.maxBytes {
		return nil, errResponseTooLong
	}
	if !p.headerRead {
		if !p.headerComplete() && !ended {
			return nil, nil
		}
		if err := p.readHeader(); err != nil {
			return nil, err
		}
	}
	if !ended && !p.bodyComplete() {
		return nil, nil
	}
	return p.readResponse()
}

// size returns the number of bytes received.
func (p *responseParser) size() int { return len(p.buffer) }

// reset prepares the parser for the next response.
func (p *responseParser) reset() { *p = responseParser{maxBytes: p.maxBytes} }

// headerComplete returns whether the header is complete, or so long that it is left to net/http to accept or reject it.
func (p *responseParser) headerComplete() bool {
	const headerEnd = "\r\n\r\n"
	found := bytes.Contains(p.buffer[max(0, p.headerScanned-len(headerEnd)+1):], []byte(headerEnd))
	p.headerScanned = len(p.buffer)
	return found || len(p.buffer) >= maxHeaderBytes
}

// readHeader parses the header and finds out where the body starts and ends.
func (p *responseParser) readHeader() error {
	parsed, unread, err := p.parse()
	if err != nil {
		return err
	}
	p.headerRead, p.chunked = true, len(parsed.TransferEncoding) > 0
	p.contentLength = int(min(parsed.ContentLength, maxContentLength))
	p.offset = len(p.buffer) - unread()
	_ = parsed.Body.Close() // fails if the body is incomplete, which bodyComplete finds out
	if p.contentLength > p.maxBytes {
		return errResponseTooLong
	}
	return nil
}

// bodyComplete returns whether the whole body was received. A body of unknown length ends with the connection.
func (p *responseParser) bodyComplete() bool {
	if p.chunked {
		return p.scanChunks()
	}
	return p.contentLength >= 0 && len(p.buffer) >= p.offset+p.contentLength
}

// readResponse parses the whole response.
func (p *responseParser) readResponse() (*response, error) {
	parsed, unread, err := p.parse()
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(parsed.Body)
	if err != nil {
		_ = parsed.Body.Close() // the error of ReadAll says more
		return nil, fmt.Errorf("%w: %w", errResponseTruncated, err)
	}
	result := &response{status: parsed.StatusCode, body: body, reusable: !parsed.Close && unread() == 0}
	_ = parsed.Body.Close() // can't fail: the body was read to its end from memory
	return result, nil
}

// parse has net/http parse the header from the received bytes. parsed.Body reads the rest of them. unread returns how many
// of the bytes have not been read yet.
func (p *responseParser) parse() (parsed *http.Response, unread func() int, err error) {
	p.parseCount++
	source := bytes.NewReader(p.buffer)
	buffered := bufio.NewReader(source)
	parsed, err = http.ReadResponse(buffered, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	return parsed, func() int { return source.Len() + buffered.Buffered() }, nil
}

// scanChunks advances over complete chunks and trailer lines and returns whether the end of the chunked body was received.
// An invalid chunk counts as the end, since net/http will then report it as an error.
func (p *responseParser) scanChunks() bool {
	for {
		rest := p.buffer[p.offset:]
		lineEnd := bytes.IndexByte(rest, '\n')
		if lineEnd < 0 {
			return len(rest) > maxChunkHeaderBytes
		}
		line := bytes.TrimSpace(rest[:lineEnd])
		if p.inTrailer {
			p.offset += lineEnd + 1
			if len(line) == 0 {
				return true
			}
			continue
		}
		digits, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		chunkBytes := lineEnd + 1 + int(size) + len("\r\n")
		switch {
		case err != nil:
			return true
		case size == 0:
			p.inTrailer = true
			p.offset += lineEnd + 1
		case len(rest) < chunkBytes:
			return false
		default:
			p.offset += chunkBytes
		}
	}
}
