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

// answer gathers the bytes of one HTTP answer, which net/http's own reader then reads: its head once it is there, and all of it
// once it is whole. That reader takes what is not there yet for an answer that broke off, in more than one way, and would have
// to begin anew with each piece.
type responseParser struct {
	buffer   []byte
	maxBytes int
	seen     int  // bytes that were looked through for the head's end
	head     bool // it is there, and says:
	chunked  bool
	length   int // of the body; -1: not told
	at       int // where the body begins; in chunks, where the next chunk does
	trailer  bool
	parses   int
}

var errTooLong = errors.New("an HTTP answer that is too long")

// feed adds bytes and gives the answer once it is whole. ended tells that none will follow.
func (a *responseParser) feed(b []byte, ended bool) (status int, body []byte, reuse bool, whole bool, err error) {
	a.buffer = append(a.buffer, b...)
	if len(a.buffer) > a.maxBytes {
		return 0, nil, false, false, errTooLong
	}
	if !a.head {
		found := bytes.Contains(a.buffer[max(0, a.seen-3):], []byte("\r\n\r\n"))
		if a.seen = len(a.buffer); !found && !ended && len(a.buffer) < 1<<14 {
			return 0, nil, false, false, nil
		}
		r, left, err := a.read()
		if err != nil {
			return 0, nil, false, false, err
		}
		a.head, a.chunked, a.length, a.at = true, len(r.TransferEncoding) > 0, int(min(r.ContentLength, 1<<40)), len(a.buffer)-left()
		r.Body.Close()
		if a.length > a.maxBytes {
			return 0, nil, false, false, errTooLong
		}
	}
	switch {
	case ended:
	case a.chunked:
		if !a.chunks() {
			return 0, nil, false, false, nil
		}
	case a.length < 0 || len(a.buffer) < a.at+a.length:
		return 0, nil, false, false, nil
	}
	r, left, err := a.read()
	if err != nil {
		return 0, nil, false, false, err
	}
	defer r.Body.Close()
	if body, err = io.ReadAll(r.Body); err != nil {
		return 0, nil, false, false, fmt.Errorf("an HTTP answer that broke off: %w", err)
	}
	return r.StatusCode, body, !r.Close && left() == 0, true, nil
}

// read begins to read what is there; left tells how much of it was not read.
func (a *responseParser) read() (r *http.Response, left func() int, err error) {
	a.parses++
	src := bytes.NewReader(a.buffer)
	in := bufio.NewReader(src)
	if r, err = http.ReadResponse(in, nil); err != nil {
		return nil, nil, fmt.Errorf("an answer that is not HTTP: %w", err)
	}
	return r, func() int { return src.Len() + in.Buffered() }, nil
}

// chunks goes on along the chunks and tells whether their end is there. What is no chunk counts as the end: the reader says so.
func (a *responseParser) chunks() bool {
	for {
		rest := a.buffer[a.at:]
		n := bytes.IndexByte(rest, '\n')
		if n < 0 {
			return len(rest) > 1<<12
		}
		text := bytes.TrimSpace(rest[:n])
		if a.trailer {
			if a.at += n + 1; len(text) == 0 {
				return true
			}
			continue
		}
		digits, _, _ := bytes.Cut(text, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		switch {
		case err != nil:
			return true
		case size == 0:
			a.trailer, a.at = true, a.at+n+1
		case len(rest) < n+1+int(size)+2:
			return false
		default:
			a.at += n + 1 + int(size) + 2
		}
	}
}

func (a *responseParser) reset() { *a = responseParser{maxBytes: a.maxBytes} }
