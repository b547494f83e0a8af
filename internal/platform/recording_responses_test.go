package platform

import (
	"fmt"
	"slices"
	"strings"
)

// handleListRequest handles a request for the endpoint list. A long poll is held until the list changes or its timeout passes.
func (s *script) handleListRequest(peer *scriptPeer, request string) {
	path := strings.Fields(request)[1]
	_, query, hasQuery := strings.Cut(path, "?")
	if !hasQuery {
		s.count("discovery gets a request for the full list")
		s.respondWithList(peer, true, 0)
		return
	}
	var since, timeoutMs int
	if _, err := fmt.Sscanf(query, "since=%d&timeout_ms=%d", &since, &timeoutMs); err != nil {
		s.t.Fatalf("discovery gets a request for the invalid path %q: %v", path, err)
	}
	if timeoutMs == 0 {
		s.count("discovery gets a request for changes at once")
	}
	if timeoutMs == 0 || since != s.discovery.version {
		s.respondWithList(peer, false, since)
		return
	}
	s.count("discovery gets a long poll")
	s.discovery.longPollPeer, s.discovery.longPollVersion = peer, since
	s.after(float64(timeoutMs)/1000, func() {
		if s.discovery.longPollPeer == peer && s.isOpen(peer) {
			s.discovery.longPollPeer = nil
			s.respondWithList(peer, false, since)
		}
	})
}

// emptyOK is a successful response without a body.
const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// respondWithList sends the full list or the changes since a version, or fails as discovery's failureMode says.
func (s *script) respondWithList(peer *scriptPeer, whole bool, since int) {
	body := s.discovery.listJSON(whole, since)
	s.count("discovery responds: " + s.discovery.failureMode)
	switch s.discovery.failureMode {
	case "unavailable":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case "unavailable and closed":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		peer.closeAfterSend = true
	case "hang":
	case "reset":
		s.closeByPeer(peer, "connection reset by peer")
	case "cut off":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body)
		peer.closeAfterSend = true
	case "cut chunk":
		peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		peer.closeAfterSend = true
	case "malformed list":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-1, body[:len(body)-1])
	case "malformed HTTP":
		peer.send("discovery is out of order\r\n\r\n")
	case "too long":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 1<<20)
	case "old list":
		old := fmt.Sprintf(`{"seq":1,"whole":%t,"hosts":[]}`, whole)
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(old), old)
	default:
		s.respondOK(peer, body)
	}
}

// respondOK sends a successful response whose body is chunked, ends with the connection, or has a Content-Length.
func (s *script) respondOK(peer *scriptPeer, body []byte) {
	switch s.random.IntN(5) {
	case 0:
		s.count("list in chunks")
		peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			size := min(len(body), 1+s.random.IntN(300))
			peer.send("%x\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
		peer.send("0\r\n\r\n")
	case 1:
		s.count("list without its length")
		peer.send("HTTP/1.1 200 OK\r\n\r\n%s", body)
		peer.closeAfterSend = true
	default:
		s.count("list with its length")
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// handleProbeRequest answers a probe after a random delay. The outcomes follow one another in a fixed order, in which a silent
// backend responds to few probes and other backends to most.
func (s *script) handleProbeRequest(peer *scriptPeer, request string) {
	switch path := strings.Fields(request)[1]; path {
	case "/-/healthy":
		s.count("probe of health")
	case "/-/load":
		s.count("probe of load")
	default:
		s.t.Fatalf("a backend gets a probe with the unknown path %q", path)
	}
	outcomes, counter := []string{"OK", "OK", "OK with load", "unavailable", "reset", "hang", "cut off", "malformed"}, &s.probeCount
	if peer.backend != nil && s.isSilent(peer.backend) {
		outcomes, counter = []string{"OK", "hang", "reset", "hang", "unavailable", "reset", "cut off", "hang"}, &s.silentProbeCount
	}
	outcome := outcomes[*counter%len(outcomes)]
	*counter++
	s.count("probe outcome: " + outcome)
	s.after(0.3*s.random.Float64(), func() {
		if s.isOpen(peer) {
			s.respondToProbe(peer, outcome)
		}
	})
}

// isSilent returns whether a backend is silent in the current phase.
func (s *script) isSilent(backend *scriptBackend) bool {
	return slices.ContainsFunc(s.phase.silentBackends, func(number int) bool { return s.discovery.backends[number] == backend })
}

// respondToProbe responds to a probe, or fails, with the given outcome.
func (s *script) respondToProbe(peer *scriptPeer, outcome string) {
	switch outcome {
	case "OK":
		peer.send(emptyOK)
	case "OK with load":
		body := fmt.Sprintf(`{"cpu":%.2f,"queue":%d}`, s.random.Float64(), s.random.IntN(20))
		peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		peer.closeAfterSend = true
	case "unavailable":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case "reset":
		s.closeByPeer(peer, "connection reset by peer")
	case "cut off":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{")
		peer.closeAfterSend = true
	case "malformed":
		peer.send("no HTTP\r\n\r\n")
	case "hang":
	}
}
