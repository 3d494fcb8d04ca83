package starter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Start asks an agent to start one task.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Incarnation is the agent that is meant; any other refuses.
	Incarnation identifier.Incarnation
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Task        identifier.Task
	// Attempt counts the starts sent for this task in this epoch, from one.
	Attempt uint32
	// Digest is the content of the job, see describer.Job.
	Digest  uint64
	Path    string
	Timeout time.Duration
	// NotRepeated is passed on to the backend server.
	NotRepeated bool
	Input       []byte
	// Waiting is how many tasks wait at the entry after this one.
	Waiting int
}

// Ended reports the end of a task that was started.
type Ended struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Result      describer.Result
	// GrantedSlots is how many slots the agent offers along with this report.
	GrantedSlots int
}

// Reason says why an agent did not start a task.
type Reason uint8

// The reasons of an agent for not starting a task.
const (
	// Accepted is the reason of no refusal.
	Accepted Reason = iota
	// OtherIncarnation means that the start was for an earlier or later process.
	OtherIncarnation
	// Fenced means that a newer epoch of the partition is known.
	Fenced
	// LeaseOver means that the owner's lease has not been confirmed in time.
	LeaseOver
	// Tombstoned means that this attempt was revoked or refused before.
	Tombstoned
	// AlreadyStarted means that the task was already started here.
	AlreadyStarted
	// NoSlot means that the entry held no offered slot.
	NoSlot
	// Draining means that the agent is leaving.
	Draining
	// Unreachable means that no connection to the backend server could be made.
	Unreachable
)

// String returns the name of r in snake case.
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

// NotStarted reports that an attempt was refused and never will start.
type NotStarted struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Epoch       identifier.Epoch
	Attempt     uint32
	Reason      Reason
	// GrantedSlots is how many slots the agent offers along with this report.
	GrantedSlots int
}

// Revoke asks an agent for the state of a task whose start is in doubt, and
// forbids the start if it has not happened.
type Revoke struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Task        identifier.Task
	Attempt     uint32
}

// Revoked answers a Revoke. The attempt was either started, with Result when it
// has ended, or it never will be.
type Revoked struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Task        identifier.Task
	Epoch       identifier.Epoch
	Attempt     uint32
	Started     bool
	Result      describer.Result
}

// Seal asks an agent to refuse all lower epochs of some partitions, and for what
// it has started in them.
type Seal struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Claims      []Claim
}

// Claim is one partition with the epoch of its new owner.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Partition identifier.Partition
	Epoch     identifier.Epoch
}

// Sealed answers a Seal with the records of the partitions that it named, in as many
// messages as they need.
type Sealed struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Claims      []Claim
	Records     []Record
	Last        bool
}

// Record is a task that an agent has started. Its result is pending while the
// task runs.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	Task identifier.Task
	// Epoch and Attempt are those of the start.
	Epoch   identifier.Epoch
	Attempt uint32
	Digest  uint64
	Result  describer.Result
}

// recordOverhead is what a record takes in a message besides its result and its
// names, in bytes, and something to spare.
const recordOverhead = 64

// size estimates what r takes in a message, in bytes.
func (r Record) size() int {
	s := r.Task.Submission
	return recordOverhead + len(s.Workspace) + len(s.Key) + len(r.Result.Body) + len(r.Result.Detail)
}

// FinalReport passes the records of an agent that leaves to every entry, so that one
// which takes over a partition later does without the agent. The agent starts
// nothing more when it sends the first of them.
type FinalReport struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation identifier.Incarnation
	Records     []Record
	Last        bool
}

// LeaseRequest asks an entry how long its lease still lasts, and tells which entries
// the agent is linked to: an entry that hears nothing of another learns from the
// agents that it lives.
type LeaseRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	Linked   []identifier.Entry
}

// LeaseReply answers AskLease.
type LeaseReply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence  uint64
	Remaining time.Duration
}
