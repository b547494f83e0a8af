// Package wire is the codec of the platform's messages: lines that end in CRLF, a kind and words of the form name=value.
// The platform's words live here alone; what comes out and goes in speaks ours, with times in seconds.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Most is the size of a message, in bytes; MostParts how many of them one order may be made of.
const (
	Most      = 1 << 20
	MostParts = 64
)

// Message is one of the types below.
type Message any

type (
	// Collector: this connection forwards sums of a zone.
	Collector struct{ Zone string }
	// Join: this connection is a proxy's stream.
	Join struct {
		Proxy int
		Zone  string
		Rate  float64
		Fresh bool
	}
	// Answer: all up to a mark is applied.
	Answer struct {
		Proxy int
		Mark  int
		Delay float64
	}
	// Tries is what the proxies of a zone met at a server.
	Tries struct {
		Zone, Server string
		Tries, Bad   int
		Delay, Over  float64
		Load         map[string]float64
	}
	// Usage is what came to a proxy of one method.
	Usage struct {
		Proxy     int
		Method    string
		RPCs, Bad int
		Over      float64
	}
	// Beat asks for a sign of life.
	Beat struct{}
)

// Spoilt is a message that makes no sense on a connection that does: it alone is lost.
type Spoilt struct {
	Kind string
	Why  string
}

func (s *Spoilt) Error() string { return s.Kind + ": " + s.Why }

// What makes a connection of no use.
var (
	ErrLong = errors.New("a message that is too long")
	ErrForm = errors.New("what can't be read")
)

const (
	kindCollector = "telemetry"
	kindJoin      = "attach"
	kindAnswer    = "done"
	kindTries     = "upstream_stats"
	kindUsage     = "client_stats"
	kindBeat      = "hb"
	kindOrder     = "assign"
)

// kinds are what may come to us.
var kinds = [...]string{kindCollector, kindJoin, kindAnswer, kindTries, kindUsage, kindBeat}

// Reader takes a connection's bytes in whatever pieces they come, and gives its messages.
type Reader struct {
	buf  []byte
	at   int
	Most int // bytes of a message; 0: as much as the platform allows
}

// Feed adds bytes.
func (r *Reader) Feed(b []byte) {
	if r.at > 0 {
		r.buf = append(r.buf[:0], r.buf[r.at:]...)
		r.at = 0
	}
	r.buf = append(r.buf, b...)
}

// Next gives the next message, nil if more bytes are needed. After a *Spoilt error the next one may be asked for; after
// any other the connection is of no use.
func (r *Reader) Next() (Message, error) {
	most := r.Most
	if most <= 0 || most > Most {
		most = Most
	}
	rest := r.buf[r.at:]
	n := bytes.IndexByte(rest, '\n')
	if n < 0 {
		if len(rest) == 0 {
			r.buf, r.at = nil, 0 // hundreds of quiet connections hold nothing
			return nil, nil
		}
		if len(rest) > most {
			return nil, ErrLong
		}
		return nil, begins(rest)
	}
	if n+1 > most {
		return nil, ErrLong
	}
	if n == 0 || rest[n-1] != '\r' {
		return nil, fmt.Errorf("%w: a line that does not end in CRLF", ErrForm)
	}
	r.at += n + 1
	return decode(rest[:n-1])
}

// begins tells whether bytes can be the beginning of a message. Against noise without a line's end, which would else be
// waited on for as long as it stays under the bound.
func begins(b []byte) error {
	if err := plain(bytes.TrimSuffix(b, []byte{'\r'})); err != nil {
		return err
	}
	word, _, whole := strings.Cut(string(b[:min(len(b), 32)]), " ")
	word = strings.TrimSuffix(word, "\r")
	for _, k := range kinds {
		if word == k || !whole && strings.HasPrefix(k, word) {
			return nil
		}
	}
	return fmt.Errorf("%w: it begins with %.32q", ErrForm, word)
}

func plain(b []byte) error {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return fmt.Errorf("%w: a byte %#02x", ErrForm, c)
		}
	}
	return nil
}

// words are the fields of one message; the first trouble met stays.
type words struct {
	kind string
	all  [][2]string
	err  error
}

func decode(b []byte) (Message, error) {
	if err := plain(b); err != nil {
		return nil, err
	}
	parts := strings.Fields(string(b))
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: an empty line", ErrForm)
	}
	w := &words{kind: parts[0]}
	known := false
	for _, k := range kinds {
		known = known || k == w.kind
	}
	if !known {
		return nil, fmt.Errorf("%w: the kind %.32q", ErrForm, w.kind)
	}
	for _, p := range parts[1:] {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, &Spoilt{w.kind, fmt.Sprintf("the word %.32q has no value", p)}
		}
		w.all = append(w.all, [2]string{name, value})
	}
	var m Message
	switch w.kind {
	case kindBeat:
		m = Beat{}
	case kindCollector:
		m = Collector{w.zone()}
	case kindJoin:
		m = Join{w.whole("proxy", mostProxy), w.zone(), w.num("weight", mostFigure), w.flag("fresh")}
	case kindAnswer:
		m = Answer{w.whole("proxy", mostProxy), w.whole("mark", mostProxy), w.num("took_ms", mostTime) / 1000}
	case kindTries:
		m = Tries{w.zone(), w.text("server"), w.whole("tries", mostFigure), w.whole("failed", mostFigure),
			w.num("mean_ms", mostTime) / 1000, w.span(), w.load()}
		if t := m.(Tries); t.Bad > t.Tries {
			w.fail("failed is more than tries")
		}
	case kindUsage:
		// What fails in a span may have come before it, so there may be more of it than of what came.
		m = Usage{w.whole("proxy", mostProxy), w.text("class"), w.whole("tries", mostFigure), w.whole("failed", mostFigure), w.span()}
	}
	if w.err != nil {
		return nil, w.err
	}
	return m, nil
}

// What figures may be at most: far beyond anything real, and far from where sums of them lose their sense.
const (
	mostProxy  = 1<<16 - 1
	mostFigure = 1e7
	mostTime   = 3.6e6 // an hour, in the platform's milliseconds
)

func (w *words) fail(format string, args ...any) {
	if w.err == nil {
		w.err = &Spoilt{w.kind, fmt.Sprintf(format, args...)}
	}
}

func (w *words) find(name string) (value string, any bool) {
	for _, x := range w.all {
		if x[0] == name {
			if any && x[1] != value {
				w.fail("%s is there twice", name)
			}
			value, any = x[1], true
		}
	}
	return value, any
}

func (w *words) text(name string) string {
	v, ok := w.find(name)
	if !ok || v == "" {
		w.fail("%s is missing", name)
	} else if len(v) > 128 {
		w.fail("%s is too long", name)
	}
	return v
}

// zone must be there, but where there is only one its name may be empty.
func (w *words) zone() string {
	v, ok := w.find("zone")
	if !ok {
		w.fail("zone is missing")
	} else if len(v) > 128 {
		w.fail("zone is too long")
	}
	return v
}

func (w *words) num(name string, most float64) float64 {
	v, err := strconv.ParseFloat(w.text(name), 64)
	switch {
	case w.err != nil:
	case err != nil || math.IsNaN(v):
		w.fail("%s is not a number", name)
	case v < 0 || v > most:
		w.fail("%s is out of range", name)
	}
	return v
}

func (w *words) whole(name string, most float64) int {
	v := w.num(name, most)
	if w.err == nil && v != math.Trunc(v) {
		w.fail("%s is not a whole number", name)
	}
	if w.err != nil {
		return 0
	}
	return int(v)
}

func (w *words) span() float64 {
	v := w.num("span_ms", mostTime)
	if w.err == nil && v <= 0 {
		w.fail("span_ms is out of range")
	}
	return v / 1000
}

func (w *words) flag(name string) bool {
	v := w.text(name)
	if w.err == nil && v != "0" && v != "1" {
		w.fail("%s is neither 0 nor 1", name)
	}
	return v == "1"
}

func (w *words) load() map[string]float64 {
	v, ok := w.find("load")
	if !ok || v == "" {
		return nil
	}
	all := map[string]float64{}
	for _, pair := range strings.Split(v, ",") {
		name, x, ok := strings.Cut(pair, ":")
		f, err := strconv.ParseFloat(x, 64)
		if !ok || name == "" || err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			w.fail("load is not a list of figures")
			return nil
		}
		all[name] = f
	}
	return all
}

// Weight is a line of a table as it is written.
type Weight struct {
	Server string
	Weight float64
}

// Part is one order of a message. A message is one or more of them.
type Part struct {
	Methods   []string // none: all
	Whole     bool
	Lines     []Weight
	Gated     bool // Level and Tries are given
	Level     float64
	Tries     int
	Out, Back []string
	Marked    bool
	Mark      int
}

// AppendBeat answers a sign of life.
func AppendBeat(dst []byte) []byte { return append(dst, "hb_ok\r\n"...) }

// AppendReject says why a connection is refused.
func AppendReject(dst []byte, reason string) []byte {
	dst = append(dst, "reject why="...)
	for i := range min(len(reason), 200) {
		c := reason[i]
		if c <= ' ' || c > '~' || c == '=' {
			c = '_'
		}
		dst = append(dst, c)
	}
	return append(dst, "\r\n"...)
}

// Append writes a message. Where it is too long for what one message may hold, its lists go on in further parts; where
// those are too many, in further messages, of which the last alone has the mark.
func Append(dst []byte, parts []Part) []byte { return appendWithin(dst, parts, Most, MostParts) }

func appendWithin(dst []byte, parts []Part, most, mostParts int) []byte {
	var small []Part
	for _, p := range parts {
		small = append(small, split(p, most)...)
	}
	for i, p := range small {
		more := i+1 < len(small) && (i+1)%mostParts != 0
		dst = appendPart(dst, p, more)
	}
	return dst
}

// head is more than what a part needs beside its lists.
const head = 256

// split cuts a part's lists where it would get too long.
func split(p Part, most int) (all []Part) {
	methods := 0
	for _, m := range p.Methods {
		methods += len(m) + 1
	}
	room := max(1, most-head-methods)
	size := 0
	now := Part{Methods: p.Methods, Whole: p.Whole}
	next := func(n int) {
		if size > 0 && size+n > room {
			all = append(all, now)
			now, size = Part{Methods: p.Methods}, 0
		}
		size += n
	}
	for _, l := range p.Lines {
		next(len(l.Server) + 26)
		now.Lines = append(now.Lines, l)
	}
	for _, s := range p.Out {
		next(len(s) + 1)
		now.Out = append(now.Out, s)
	}
	for _, s := range p.Back {
		next(len(s) + 1)
		now.Back = append(now.Back, s)
	}
	now.Gated, now.Level, now.Tries = p.Gated, p.Level, p.Tries
	now.Marked, now.Mark = p.Marked, p.Mark
	return append(all, now)
}

func appendPart(b []byte, p Part, more bool) []byte {
	b = append(b, kindOrder...)
	if len(p.Methods) > 0 {
		b = append(b, " classes="...)
		b = append(b, strings.Join(p.Methods, "+")...)
	}
	if p.Whole {
		b = append(b, " whole=1"...)
	}
	for i, l := range p.Lines {
		if i == 0 {
			b = append(b, " lines="...)
		} else {
			b = append(b, ',')
		}
		b = append(b, l.Server...)
		b = append(b, ':')
		b = number(b, l.Weight)
	}
	if p.Gated {
		b = number(append(b, " level="...), p.Level)
		b = strconv.AppendInt(append(b, " retry="...), int64(p.Tries), 10)
	}
	b = names(b, " out=", p.Out)
	b = names(b, " back=", p.Back)
	if p.Marked {
		b = strconv.AppendInt(append(b, " ticket="...), int64(p.Mark), 10)
	}
	if more {
		b = append(b, " more=1"...)
	}
	return append(b, "\r\n"...)
}

func names(b []byte, word string, all []string) []byte {
	for i, s := range all {
		if i == 0 {
			b = append(b, word...)
		} else {
			b = append(b, ',')
		}
		b = append(b, s...)
	}
	return b
}

// number writes a figure without an exponent, which not every reader takes, and none that can't be read at all.
func number(b []byte, v float64) []byte {
	switch {
	case math.IsNaN(v) || v <= 0:
		v = 0
	case v > 1e9:
		v = 1e9
	}
	x := strconv.AppendFloat(nil, v, 'f', 6, 64)
	x = bytes.TrimRight(bytes.TrimRight(x, "0"), ".")
	if len(x) == 0 || v > 0 && string(x) == "0" {
		if x = x[:0]; v > 0 {
			x = append(x, "0.000001"...)
		} else {
			x = append(x, '0')
		}
	}
	return append(b, x...)
}
