package extender

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Request asks another entry for a promise not to claim the sender's partitions. It
// also tells how far the sender has read the assignment.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	// Incarnation is that of the sender.
	Incarnation identifier.Incarnation
	// Version is that of the sender's newest reading of the assignment.
	Version uint64
}

// Promise answers an Ask. The promise lasts for Length from when it was asked for;
// a Length of zero promises nothing.
type Promise struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	Duration time.Duration
	// Version and Assignment are the newest reading of whoever refuses because the
	// sender's is older.
	Version    uint64
	Assignment []byte
}

// SeenVersion tells another entry how far the sender has read the assignment.
type SeenVersion struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
}
