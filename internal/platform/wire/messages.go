// Package wire is the codec of the platform's messages. A message is a line that ends in CRLF and has a kind followed by
// fields of the form name=value. The names that the platform gave to kinds and fields stay inside this package. Decoded
// messages have times in seconds.
package wire

import "errors"

// Limits of the platform.
const (
	MaxMessageBytes    = 1 << 20 // of one message, with its line end
	MaxPartsPerMessage = 64      // of one message that is sent in several parts
)

// Message is one of CollectorJoin, ProxyJoin, Acknowledgement, AttemptReport, UsageReport and Heartbeat.
type Message any

// CollectorJoin says that the connection forwards the attempt reports of a zone.
type CollectorJoin struct{ Zone string }

// ProxyJoin says that the connection is the stream of a proxy.
type ProxyJoin struct {
	Proxy int
	Zone  string
	Rate  float64 // RPCs per second that the proxy usually gets
	Fresh bool    // the proxy has just started and holds no table
}

// Acknowledgement says that a proxy has applied all messages up to the one with the nonce.
type Acknowledgement struct {
	Proxy int
	Nonce int
	Delay float64 // in seconds, from sending to applying
}

// AttemptReport has the attempts of all proxies of a zone at one backend.
type AttemptReport struct {
	Zone, Backend      string
	Attempts, Failures int
	MeanLatency        float64            // of successful attempts, in seconds
	Span               float64            // the period that the report covers, in seconds
	Load               map[string]float64 // as reported by the backend, by name
}

// UsageReport has the RPCs of one method that arrived at a proxy.
type UsageReport struct {
	Proxy          int
	Method         string
	RPCs, Failures int
	Span           float64 // the period that the report covers, in seconds
}

// Heartbeat asks for a reply written by AppendHeartbeatReply.
type Heartbeat struct{}

// MessageError describes an invalid message on a connection whose framing is intact: only the message is lost.
type MessageError struct {
	Kind   string
	Reason string
}

// Error returns kind and reason. The text is sent to peers in the rejection of a connection.
func (e *MessageError) Error() string { return e.Kind + ": " + e.Reason }

// Errors after which a connection can't be read any further. The texts are sent to peers in the rejection of a connection.
var (
	ErrTooLong   = errors.New("a message that is too long")
	ErrMalformed = errors.New("what can't be read")
)

// The platform's names for kinds of messages.
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
