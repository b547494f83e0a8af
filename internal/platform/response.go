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

// responseParser collects the bytes of one HTTP response until net/http can read it: the header once it is complete, and
// the whole response once that is complete. net/http would take missing bytes for a truncated response and would have to
// start over with each piece.
type responseParser struct {
	buffer        []byte
	maxBytes      int // limit on the response, which stays when the parser is reset
	scanned       int // bytes that were searched for the end of the header
	headerRead    bool
	chunked       bool
	contentLength int  // -1 if unknown
	offset        int  // of the body, or of the next chunk
	inTrailer     bool // the last chunk was scanned
	parses        int  // calls of net/http's reader
}

const (
	maxHeaderBytes      = 1 << 14
	maxChunkHeaderBytes = 1 << 12
	maxContentLength    = 1 << 40 // anything longer counts as this long
)

// Errors of responseParser.feed beside those that net/http's reader gives.
var (
	errResponseTooLong   = errors.New("HTTP response is too long")
	errInvalidResponse   = errors.New("invalid HTTP response")
	errResponseTruncated = errors.New("HTTP response is truncated")
)

// feed appends data and returns the response once it is complete, nil before. ended says that no more data will come.
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

// size returns the number of bytes collected.
func (p *responseParser) size() int { return len(p.buffer) }

// reset prepares the parser for another response.
func (p *responseParser) reset() { *p = responseParser{maxBytes: p.maxBytes} }

// headerComplete returns whether the header is complete or so long that net/http must decide about it.
func (p *responseParser) headerComplete() bool {
	const headerEnd = "\r\n\r\n"
	found := bytes.Contains(p.buffer[max(0, p.scanned-len(headerEnd)+1):], []byte(headerEnd))
	p.scanned = len(p.buffer)
	return found || len(p.buffer) >= maxHeaderBytes
}

func (p *responseParser) readHeader() error {
	parsed, unread, err := p.parse()
	if err != nil {
		return err
	}
	p.headerRead, p.chunked = true, len(parsed.TransferEncoding) > 0
	p.contentLength = int(min(parsed.ContentLength, maxContentLength))
	p.offset = len(p.buffer) - unread()
	_ = parsed.Body.Close() // fails if the body is incomplete, which bodyComplete tells
	if p.contentLength > p.maxBytes {
		return errResponseTooLong
	}
	return nil
}

func (p *responseParser) bodyComplete() bool {
	if p.chunked {
		return p.scanChunks()
	}
	return p.contentLength >= 0 && len(p.buffer) >= p.offset+p.contentLength
}

func (p *responseParser) readResponse() (*response, error) {
	parsed, unread, err := p.parse()
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(parsed.Body)
	if err != nil {
		_ = parsed.Body.Close() // the error of the read tells more
		return nil, fmt.Errorf("%w: %w", errResponseTruncated, err)
	}
	result := &response{status: parsed.StatusCode, body: body, reusable: !parsed.Close && unread() == 0}
	_ = parsed.Body.Close() // reads from memory, to the end, have succeeded
	return result, nil
}

// parse has net/http read the header of the response. unread returns how many of the collected bytes were not read yet.
func (p *responseParser) parse() (parsed *http.Response, unread func() int, err error) {
	p.parses++
	source := bytes.NewReader(p.buffer)
	buffered := bufio.NewReader(source)
	parsed, err = http.ReadResponse(buffered, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	return parsed, func() int { return source.Len() + buffered.Buffered() }, nil
}

// scanChunks advances over complete chunks and returns whether the end of the last one is there. An invalid chunk counts
// as the end: net/http's reader reports it.
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
