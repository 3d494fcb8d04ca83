package distributor

import "github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"

// Announcement is a message with the version of the sender's manifest.
type Announcement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	// Evacuations holds the evacuations of data centres that the sender knows.
	Evacuations []evacuator.Row
}

// Request asks the receiver for its manifest.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Have is the version of the sender's manifest, or zero if it has none.
	Have uint64
}

// LinkID identifies a link to another gateway within a process. It is never zero.
type LinkID uint64

// Effect is an action for the process to carry out: a Send or a SendManifest.
type Effect interface{ effect() }

// Send sends an Announcement or a Request on a link.
type Send struct {
	To      LinkID
	Message any
}

// SendManifest sends the current manifest on a link.
type SendManifest struct {
	To LinkID
}

func (Send) effect()         {}
func (SendManifest) effect() {}
