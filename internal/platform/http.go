package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// answer gathers the bytes of one HTTP answer, which net/http's own reader then reads.
type answer struct {
	buf  []byte
	most int
	need int // bytes under which there is no use in reading; 0: not known
}

var errTooLong = errors.New("an HTTP answer that is too long")

// feed adds bytes and gives the answer once it is whole. ended tells that none will follow.
func (a *answer) feed(b []byte, ended bool) (status int, body []byte, reuse bool, whole bool, err error) {
	a.buf = append(a.buf, b...)
	if len(a.buf) > a.most {
		return 0, nil, false, false, errTooLong
	}
	if !ended && (len(a.buf) < a.need || !bytes.Contains(a.buf, []byte("\r\n\r\n")) && len(a.buf) < 1<<14) {
		return 0, nil, false, false, nil
	}
	src := bytes.NewReader(a.buf)
	in := bufio.NewReader(src)
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, nil, false, false, fmt.Errorf("an answer that is not HTTP: %w", err)
	}
	defer r.Body.Close()
	if n := r.ContentLength; n >= 0 && !ended {
		if int(min(n, 1<<40)) > a.most {
			return 0, nil, false, false, errTooLong
		}
		a.need = len(a.buf) - src.Len() - in.Buffered() + int(n)
		if len(a.buf) < a.need {
			return 0, nil, false, false, nil
		}
	}
	body, err = io.ReadAll(r.Body)
	switch {
	case err != nil && !ended && errors.Is(err, io.ErrUnexpectedEOF):
		return 0, nil, false, false, nil // chunked, and more chunks to come
	case err != nil:
		return 0, nil, false, false, fmt.Errorf("an HTTP answer that broke off: %w", err)
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !ended:
		return 0, nil, false, false, nil // it ends with the connection
	}
	left := src.Len() + in.Buffered()
	return r.StatusCode, body, !r.Close && left == 0, true, nil
}

func (a *answer) reset() { a.buf, a.need = nil, 0 }
