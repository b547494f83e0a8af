package platform

import (
	"fmt"
	"slices"
	"strings"
)

// listRequest handles a request to discovery.
func (s *script) listRequest(peer *scriptPeer, request string) {
	path := strings.Fields(request)[1]
	_, query, partial := strings.Cut(path, "?")
	if !partial {
		s.saw("discovery is asked for all")
		s.respondWithList(peer, true, 0)
		return
	}
	var since, timeout int
	if _, err := fmt.Sscanf(query, "since=%d&timeout_ms=%d", &since, &timeout); err != nil {
		s.t.Fatalf("discovery is asked %q: %v", path, err)
	}
	if timeout == 0 {
		s.saw("discovery is asked for changes at once")
	}
	if timeout == 0 || since != s.discovery.version {
		s.respondWithList(peer, false, since)
		return
	}
	s.saw("discovery is asked to wait for changes")
	s.discovery.waiting, s.discovery.poll = peer, since
	s.after(float64(timeout)/1000, func() {
		if s.discovery.waiting == peer && s.alive(peer) {
			s.discovery.waiting = nil
			s.respondWithList(peer, false, since)
		}
	})
}

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// respondWithList responds to a request to discovery, or fails in the present mode.
func (s *script) respondWithList(peer *scriptPeer, whole bool, since int) {
	body := s.discovery.body(whole, since)
	s.saw("discovery answers: " + s.discovery.mode)
	switch s.discovery.mode {
	case "unavailable":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case "unavailable and closed":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		peer.ends = true
	case "hang":
	case "reset":
		s.end(peer, "connection reset by peer")
	case "cut off":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body)
		peer.ends = true
	case "cut chunk":
		peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		peer.ends = true
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

// respondOK responds in one of the forms of HTTP.
func (s *script) respondOK(peer *scriptPeer, body []byte) {
	switch s.dice.IntN(5) {
	case 0:
		s.saw("list in chunks")
		peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			size := min(len(body), 1+s.dice.IntN(300))
			peer.send("%x\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
		peer.send("0\r\n\r\n")
	case 1:
		s.saw("list without its length")
		peer.send("HTTP/1.1 200 OK\r\n\r\n%s", body)
		peer.ends = true
	default:
		s.saw("list with its length")
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// probeRequest handles a probe. A silent backend responds to few of them, others to most.
func (s *script) probeRequest(peer *scriptPeer, request string) {
	switch path := strings.Fields(request)[1]; path {
	case "/-/healthy":
		s.saw("probe asks health")
	case "/-/load":
		s.saw("probe asks load")
	default:
		s.t.Fatalf("a backend is asked %q", path)
	}
	outcomes, asked := []string{"OK", "OK", "OK with load", "unavailable", "reset", "hang", "cut off", "malformed"}, &s.probes
	if peer.backend != nil && s.isSilent(peer.backend) {
		outcomes, asked = []string{"OK", "hang", "reset", "hang", "unavailable", "reset", "cut off", "hang"}, &s.silentProbes
	}
	outcome := outcomes[*asked%len(outcomes)]
	*asked++
	s.saw("probe answer: " + outcome)
	s.after(0.3*s.dice.Float64(), func() {
		if s.alive(peer) {
			s.respondToProbe(peer, outcome)
		}
	})
}

func (s *script) isSilent(backend *scriptBackend) bool {
	return slices.ContainsFunc(s.phase.silent, func(number int) bool { return s.discovery.backends[number] == backend })
}

func (s *script) respondToProbe(peer *scriptPeer, outcome string) {
	switch outcome {
	case "OK":
		peer.send(emptyOK)
	case "OK with load":
		body := fmt.Sprintf(`{"cpu":%.2f,"queue":%d}`, s.dice.Float64(), s.dice.IntN(20))
		peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		peer.ends = true
	case "unavailable":
		peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case "reset":
		s.end(peer, "connection reset by peer")
	case "cut off":
		peer.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{")
		peer.ends = true
	case "malformed":
		peer.send("no HTTP\r\n\r\n")
	case "hang":
	}
}
