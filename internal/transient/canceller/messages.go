package canceller

import (
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Outcome answers an arbiter.Cancel.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job specifier.JobID
	// Number is that of the Cancel.
	Number uint64
	// State is the state of the job at the gateway that answers.
	State coordinator.State
	// PassedOn names the gateways that the Cancel was passed on to. They answer for themselves.
	PassedOn []identifier.Entry
}
