package quarantiner

import (
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// Report is a message with a crash of an agent's worker. Where an agent is not linked to all
// gateways, these pass it on to each other.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"`

	Agent identifier.Agent
	Crash executor.Crash
}

// sameCrash reports whether both are about the same crash: that of the same process.
func (r *Report) sameCrash(other *Report) bool {
	return r.Agent == other.Agent && r.Crash.Worker == other.Crash.Worker && r.Crash.StartedAt.Equal(other.Crash.StartedAt)
}
