package allocator

import "github.com/dandeliongrade/dandeliongrade/internal/core/identifier"

// Grant gives free slots of an agent to an entry. The entry may start one task for each
// of them without a further request.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Recall asks an entry to give back up to Slots of the slots that were granted to it
// and for which it has no task.
type Recall struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Return gives granted slots back to the agent.
type Return struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Want tells an agent that tasks wait at an entry which has no slot for them.
type Want struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting int
}

// Leave tells an entry that the agent is leaving and accepts no more tasks.
type Leave struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
}

// LeaveAck acknowledges a Leave. The entry sends no start on this link after it, so the
// agent has received all starts of the entry when it reads the LeaveAck.
type LeaveAck struct {
	_msgpack struct{} `msgpack:",as_array"`
}
