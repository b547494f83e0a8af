package haproxy

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

const maxPort = 65535

// address is the parsed address of a server or a listener (manual, 4.2 server, bind).
type address struct {
	Family       string // the prefix before @, "unix" for a path without one, otherwise ""
	Host         string // for a family without ports, the name of the socket
	Port         int    // first or only port; 0 if there is none
	RelativePort bool   // Port is relative to the port that the client connected to
	LastPort     int    // the last port of a range, 0 if Port is a single port
}

// addressFamilies are the prefixes that may precede the @ of an address.
var addressFamilies = []string{
	"ipv4", "ipv6", "unix", "abns", "abnsz", "sockpair", "fd", "quic4", "quic6", "rhttp", "udp4", "udp6", "udp", "uxst", "uxdg", "tcp", "tcp4", "tcp6",
}

// portlessFamilies are the families whose addresses are a name or a file descriptor, without a port.
var portlessFamilies = []string{"unix", "abns", "abnsz", "sockpair", "fd", "uxst", "uxdg", "rhttp"}

// parseAddress parses an address in any of the forms that HAProxy accepts.
func parseAddress(text string) (parsed address, err error) {
	family, rest, hasFamily := strings.Cut(text, "@")
	switch {
	case hasFamily && slices.Contains(addressFamilies, family):
		parsed.Family, text = family, rest
	case strings.HasPrefix(text, "/"):
		parsed.Family = "unix"
	}
	if slices.Contains(portlessFamilies, parsed.Family) {
		parsed.Host = text
		if text == "" {
			err = classify(ErrValue, "%s@ without a name", parsed.Family)
		}
		return parsed, err
	}
	host, port, err := splitHostPort(text)
	if err != nil {
		return parsed, err
	}
	parsed.Host = host
	if port == "" {
		return parsed, nil
	}
	return parsed, parsed.setPort(port)
}

// splitHostPort splits an address at its last colon. An IPv6 address may be enclosed in brackets, and the port may be missing.
func splitHostPort(text string) (host, port string, err error) {
	inBrackets, isBracketed := strings.CutPrefix(text, "[")
	if !isBracketed {
		if colon := strings.LastIndexByte(text, ':'); colon >= 0 {
			return text[:colon], text[colon+1:], nil
		}
		return text, "", nil
	}
	host, rest, closed := strings.Cut(inBrackets, "]")
	if !closed {
		return "", "", classify(ErrValue, "%q: a bracket is never closed", text)
	}
	if rest != "" && rest[0] != ':' {
		return "", "", classify(ErrValue, "%q after the bracket", rest)
	}
	return host, strings.TrimPrefix(rest, ":"), nil
}

// setPort parses a port, a range of ports, or a port with a sign, which is relative to the port that the client connected to.
func (a *address) setPort(text string) (err error) {
	digits := text
	if text[0] == '+' || text[0] == '-' {
		a.RelativePort, digits = true, text[1:]
	}
	first, last, isRange := strings.Cut(digits, "-")
	if a.Port, err = parseInteger(first, 0, maxPort); err != nil {
		return classify(ErrValue, "port %w", err)
	}
	if isRange {
		if a.LastPort, err = parseInteger(last, a.Port, maxPort); err != nil {
			return classify(ErrValue, "the range's end: %w", err)
		}
	}
	if text[0] == '-' {
		a.Port = -a.Port
	}
	return nil
}

// isListedSocket reports whether the address is a socket without a port that the endpoint list can hold.
func (a address) isListedSocket() bool { return a.Family == "unix" || a.Family == "abns" }

// String returns the address as written in the endpoint list.
func (a address) String() string {
	if a.isListedSocket() {
		return a.Family + "@" + a.Host
	}
	return net.JoinHostPort(a.Host, strconv.Itoa(a.Port))
}
