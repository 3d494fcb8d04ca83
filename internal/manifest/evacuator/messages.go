// Package evacuator keeps the set of data centres that the operator has evacuated.
package evacuator

import "github.com/dandeliongrade/dandeliongrade/internal/core/identifier"

// Row is the last change of the evacuation of a data centre.
type Row struct {
	_msgpack struct{} `msgpack:",as_array"`

	DataCentre identifier.DataCentre
	// Version is the version of the store at which the change was made. Of two rows of a data
	// centre, the one with the higher version holds.
	Version uint64
	// Evacuated is false once the evacuation has been withdrawn.
	Evacuated bool
}

// Update tells a sidecar the evacuations.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"`

	Rows []Row
}
