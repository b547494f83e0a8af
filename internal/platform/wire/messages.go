// Package wire encodes and decodes the messages of the platform's protocol. A message is a line that ends in CRLF and consists
// of a kind followed by fields of the form name=value; only a push may consist of several such lines. The platform's names
// for kinds and fields are used in this package only. Decoded messages have times in seconds.
package wire

import "errors"

// Limits of the platform.
const (
	MaxMessageBytes    = 1 << 20 // size in bytes of a message, or of a part of a push, with its line end
	MaxPartsPerMessage = 64      // number of parts of a push in one message
)

// Message is a decoded message: a CollectorJoin, ProxyJoin, Acknowledgement, AttemptReport, UsageReport or Heartbeat.
type Message any

// CollectorJoin is the first message of a collector, which forwards the reports of a zone.
type CollectorJoin struct{ Zone string }

// ProxyJoin is the first message of a proxy and makes the connection its stream.
type ProxyJoin struct {
	Proxy int // number of the proxy
	Zone  string
	Rate  float64 // RPCs per second that the proxy usually gets
	Fresh bool    // the proxy holds no table; it may hold exclusions
}

// Acknowledgement reports that a proxy has applied all pushes up to the one with the nonce.
type Acknowledgement struct {
	Proxy int
	Nonce int
	Delay float64 // from sending to applying the push, in seconds
}

// AttemptReport sums up the attempts of all proxies of a zone at one backend.
type AttemptReport struct {
	Zone, Backend      string
	Attempts, Failures int
	MeanLatency        float64            // of successful attempts, in seconds
	Span               float64            // the period that the report covers, in seconds
	Load               map[string]float64 // the load report of the backend: its values by their names; nil if there is none
}

// UsageReport sums up the RPCs of one method that arrived at a proxy.
type UsageReport struct {
	Proxy          int
	Method         string
	RPCs, Failures int
	Span           float64 // the period that the report covers, in seconds
}

// Heartbeat asks for a reply written by AppendHeartbeatReply.
type Heartbeat struct{}

// MessageError reports an invalid message on a connection whose framing is intact, so that later messages can be decoded.
type MessageError struct {
	Kind   string
	Reason string
}

// Error returns kind and reason. The text is sent to the peer if its connection is rejected.
func (e *MessageError) Error() string { return e.Kind + ": " + e.Reason }

// Errors after which nothing more can be decoded from a connection. The texts are sent to the peer if its connection is
// rejected.
var (
	ErrTooLong   = errors.New("a message that is too long")
	ErrMalformed = errors.New("what can't be read")
)

// The platform's names for message kinds.
const (
	kindCollectorJoin   = "telemetry"
	kindProxyJoin       = "attach"
	kindAcknowledgement = "done"
	kindAttemptReport   = "upstream_stats"
	kindUsageReport     = "client_stats"
	kindHeartbeat       = "hb"
	kindPush            = "assign"
)

// receivedKinds are the kinds that the decoder accepts.
var receivedKinds = [...]string{
	kindCollectorJoin, kindProxyJoin, kindAcknowledgement, kindAttemptReport, kindUsageReport, kindHeartbeat,
}
