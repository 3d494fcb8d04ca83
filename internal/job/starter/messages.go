package starter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Start asks an agent to start one task.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Incarnation is that of the agent that the message is for. Any other incarnation
	// refuses the start.
	Incarnation identifier.Incarnation
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Task        identifier.Task
	// Attempt numbers the starts sent for this task in this epoch, from one.
	Attempt uint32
	// Digest is a hash of the content of the job, see describer.Job.
	Digest  uint64
	Path    string
	Timeout time.Duration
	// NotRepeated is whether the job must not be repeated. It is passed on to the
	// backend server.
	NotRepeated bool
	Input       []byte
	// Waiting is the number of tasks that still wait at the entry.
	Waiting int
}

// Ended reports that a started task has ended, with its result.
type Ended struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Result      describer.Result
	// GrantedSlots is the number of slots that the agent grants with this message.
	GrantedSlots int
}

// Reason is why an agent did not start a task.
type Reason uint8

// The reasons why an agent does not start a task.
const (
	// Accepted means that the task was not refused.
	Accepted Reason = iota
	// OtherIncarnation means that the start was for another incarnation of the agent.
	OtherIncarnation
	// Fenced means that the agent knows a higher epoch of the partition.
	Fenced
	// LeaseOver means that the owner's lease has expired, or was never confirmed.
	LeaseOver
	// Tombstoned means that this attempt was revoked or refused earlier.
	Tombstoned
	// AlreadyStarted means that this agent has already started the task.
	AlreadyStarted
	// NoSlot means that the entry had no granted slot left.
	NoSlot
	// Draining means that the agent is leaving.
	Draining
	// Unreachable means that no connection to the backend server could be made.
	Unreachable
)

// String returns the name of r in snake case, or "unknown".
func (r Reason) String() string {
	names := [...]string{
		"accepted", "other_incarnation", "fenced", "lease_over", "tombstoned",
		"repeated", "no_slot", "draining", "unreachable",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NotStarted reports that an attempt was refused and will never start.
type NotStarted struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Epoch       identifier.Epoch
	Attempt     uint32
	Reason      Reason
	// GrantedSlots is the number of slots that the agent grants with this message.
	GrantedSlots int
}

// Revoke asks an agent for the state of a task when the entry does not know whether it
// was started. If it was not, the agent will not start that attempt any more.
type Revoke struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Task        identifier.Task
	Attempt     uint32
}

// Revoked is the reply to a Revoke. Either Started is true and Result is the task's
// result, pending while the task runs; or the attempt will never start.
type Revoked struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Epoch       identifier.Epoch
	Attempt     uint32
	Started     bool
	Result      describer.Result
}

// Seal asks an agent to refuse all lower epochs of some partitions, and to return the
// records of the tasks that it has started in them.
type Seal struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Claims      []Claim
}

// Claim is a partition and the epoch of its new owner.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Partition identifier.Partition
	Epoch     identifier.Epoch
}

// Sealed is the reply to a Seal. It carries the records of the partitions named there,
// split into several messages if they are large. Last marks the final message.
type Sealed struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Claims      []Claim
	Records     []Record
	Last        bool
}

// Record describes a task that an agent has started. Result is pending while the task
// runs.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	Task identifier.Task
	// Epoch and Attempt are those of the start.
	Epoch   identifier.Epoch
	Attempt uint32
	Digest  uint64
	Result  describer.Result
}

// recordOverhead is the encoded size of a record without its workspace, key, result
// body and detail, in bytes, with a margin.
const recordOverhead = 64

// size estimates the encoded size of r, in bytes.
func (r Record) size() int {
	s := r.Task.Submission
	return recordOverhead + len(s.Workspace) + len(s.Key) + len(r.Result.Body) + len(r.Result.Detail)
}

// FinalReport sends the records of a leaving agent to every entry, so that an entry
// which takes over a partition later does not need a reply from that agent. The agent
// starts no task after the first FinalReport. Last marks the final message.
type FinalReport struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Records     []Record
	Last        bool
}

// LeaseRequest asks an entry how long its lease still lasts. It also lists the entries
// to which the agent is linked, so that an entry which has lost contact with another
// one learns from the agents that it is alive.
type LeaseRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	Linked   []identifier.Entry
}

// LeaseReply is the reply to the LeaseRequest with the same Sequence.
type LeaseReply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence  uint64
	Remaining time.Duration
}
