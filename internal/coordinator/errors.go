package coordinator

import (
	"errors"
	"fmt"

	"gingerfork/internal/proto"
)

// The texts of the errors in this file are part of the protocol, since they are sent to the other side as the reason of a
// rejection. They must not change.

var (
	// errUnexpectedMessage is returned for a message that the role or state of the session does not allow.
	errUnexpectedMessage = errors.New("a frame out of order")
	// errInvalidName is returned for a hello whose name or zone is unsuitable for logs, traces and terminals.
	errInvalidName = errors.New("a name or zone that is empty, over 64 bytes or not printable")
)

// peerRejectionError is returned if the other side rejects the session.
type peerRejectionError struct{ reason string }

func (e *peerRejectionError) Error() string { return "the other side refused: " + e.reason }

// protocolVersionError is returned if the other side uses a version of the protocol that is not supported.
type protocolVersionError struct{ version uint64 }

func (e *protocolVersionError) Error() string {
	return fmt.Sprintf("version %d of the protocol, %d wanted", e.version, proto.Version)
}

// unknownZoneError is returned if a proxy's zone is not among those in the settings.
type unknownZoneError struct{ zone string }

func (e *unknownZoneError) Error() string {
	return fmt.Sprintf("zone %q is not among those set here", e.zone)
}

// unsupportedRoleError is returned for a hello with a role for which a coordinator does not accept sessions.
type unsupportedRoleError struct{ role proto.Role }

func (e *unsupportedRoleError) Error() string {
	return fmt.Sprintf("role %d is not served here", e.role)
}

// listDefect is the reason why an entry of the endpoint list is invalid.
type listDefect uint8

const (
	noDefect          listDefect = iota
	duplicateBackend             // the frame has two entries for the backend
	missingAddress               // the backend is not removed and has no address
	removedInFullList            // a full list has the backend as removed
)

// listEntryError is returned if an invalid entry makes a frame of the endpoint list invalid.
type listEntryError struct {
	version uint64
	backend proto.BackendID
	defect  listDefect
}

func (e *listEntryError) Error() string {
	switch e.defect {
	case duplicateBackend:
		return fmt.Sprintf("list version %d names server %d twice", e.version, e.backend)
	case missingAddress:
		return fmt.Sprintf("list version %d gives no address for server %d", e.version, e.backend)
	case removedInFullList:
		return fmt.Sprintf("list version %d is whole, and names server %d as gone", e.version, e.backend)
	}
	return fmt.Sprintf("list version %d, server %d: defect %d", e.version, e.backend, e.defect)
}

// versionGapError is returned if changes of the endpoint list do not start from the current version.
type versionGapError struct{ base, current uint64 }

func (e *versionGapError) Error() string {
	return fmt.Sprintf("list changes from version %d, but version %d is held", e.base, e.current)
}
