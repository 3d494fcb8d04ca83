package allocator

import "github.com/dandeliongrade/dandeliongrade/internal/core/identifier"

// Grant offers free slots of an agent to an entry. The entry may start one task
// for each without asking.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Recall asks an entry to give back up to Slots of the slots it was offered and
// has no work for.
type Recall struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Return gives back slots that were offered.
type Return struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Slots       int
}

// Want tells an agent that work waits at an entry without a slot.
type Want struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting int
}

// Leave tells an entry that the agent takes no more work.
type Leave struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
}

// LeaveAck answers a Leave: the entry has sent its last start on this link, and the
// agent has it by the time it reads this.
type LeaveAck struct {
	_msgpack struct{} `msgpack:",as_array"`
}
