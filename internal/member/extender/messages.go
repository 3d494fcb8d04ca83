package extender

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Request asks another entry for a promise not to claim the sender's partitions.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	// Incarnation is the sender's incarnation.
	Incarnation identifier.Incarnation
	// Version is the newest version of the assignment that the sender has read.
	Version uint64
}

// Promise is the reply to a Request. The promise lasts for Duration, counted from the
// sending of the request. A Duration of zero promises nothing.
type Promise struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	Duration time.Duration
	// Version and Assignment are the newest reading of the assignment at an entry that
	// promises nothing because the reading of the asking entry is older.
	Version    uint64
	Assignment []byte
}

// SeenVersion tells another entry which version of the assignment the sender has read.
type SeenVersion struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
}
