package coordinator

import (
	"errors"
	"fmt"

	"gingerfork/internal/proto"
)

// The texts of the errors in this file are sent to the other side as the reason of a rejection. They belong to the protocol
// and must not change.

var (
	// errUnexpectedMessage says that a message does not fit the session's role or state.
	errUnexpectedMessage = errors.New("a frame out of order")
	// errInvalidName says that the name or zone of a hello is not fit for logs, traces and terminals.
	errInvalidName = errors.New("a name or zone that is empty, over 64 bytes or not printable")
)

// peerRejectionError says that the other side rejected the session.
type peerRejectionError struct{ reason string }

func (e *peerRejectionError) Error() string { return "the other side refused: " + e.reason }

// protocolVersionError says that the other side speaks a version of the protocol that is not supported.
type protocolVersionError struct{ version uint64 }

func (e *protocolVersionError) Error() string {
	return fmt.Sprintf("version %d of the protocol, %d wanted", e.version, proto.Version)
}

// unknownZoneError says that a proxy's zone is not among those in the settings.
type unknownZoneError struct{ zone string }

func (e *unknownZoneError) Error() string {
	return fmt.Sprintf("zone %q is not among those set here", e.zone)
}

// unsupportedRoleError says that a coordinator does not serve sessions of this role.
type unsupportedRoleError struct{ role proto.Role }

func (e *unsupportedRoleError) Error() string {
	return fmt.Sprintf("role %d is not served here", e.role)
}

// listDefect is what is wrong with an entry of the endpoint list.
type listDefect uint8

const (
	noDefect listDefect = iota
	duplicateBackend
	missingAddress
	removedInFullList
)

// listEntryError says that an entry makes a frame of the endpoint list invalid.
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

// versionGapError says that changes of the endpoint list do not start from the version held here.
type versionGapError struct{ base, current uint64 }

func (e *versionGapError) Error() string {
	return fmt.Sprintf("list changes from version %d, but version %d is held", e.base, e.current)
}
