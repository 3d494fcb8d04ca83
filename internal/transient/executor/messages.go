package executor

import (
	"fmt"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// RunID is one start of one task. A later start of the same task has a higher number.
type RunID struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Index  int
	Number uint64
}

// String returns the job, the index and the number.
func (r RunID) String() string {
	return fmt.Sprintf("%s#%d@%d", r.Job, r.Index, r.Number)
}

// Start asks an agent to start a task.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
	// Service is the one that the worker must belong to.
	Service string
	Spec    string
	Demand  specifier.Resources
}

// Stop asks an agent to stop a run, or to see to it that it never begins.
type Stop struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
}

// Outcome says how a run ended.
type Outcome uint8

// The ways in which a run ends.
const (
	// Done is an end with success.
	Done Outcome = iota + 1
	// Failed is an end by the fault of the task or of the worker.
	Failed
	// Stopped is an end that somebody asked for.
	Stopped
	// Lapsed is an end for want of a lease, or together with its worker.
	Lapsed
	// Refused means that the run has not begun and never will.
	Refused
)

var outcomeNames = [...]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", Refused: "refused"}

// String returns the word for h.
func (h Outcome) String() string {
	if int(h) >= len(outcomeNames) || h == 0 {
		return fmt.Sprintf("how(%d)", uint8(h))
	}
	return outcomeNames[h]
}

// Ended reports the end of a run to the gateway that asked for it.
type Ended struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run     RunID
	Outcome Outcome
	// Reason says why a run was refused.
	Reason Reason
	// Took is the time from the worker's answer to the start until the end.
	Took time.Duration
	// UsedByOthers is what runs of other gateways use of the worker.
	UsedByOthers specifier.Resources
}

// Reason says why a run was refused.
type Reason string

// The reasons for which an agent refuses a run.
const (
	NoWorker   Reason = "no_worker"
	Draining   Reason = "draining"
	NoPermit   Reason = "no_permit"
	NoRoom     Reason = "no_room"
	Duplicate  Reason = "duplicate"
	Rejected   Reason = "rejected"
	Unanswered Reason = "unanswered"
)

// Attach is the first message of an agent on a new link. It lists what the agent
// holds for the gateway; a start that is not listed has not arrived and never will.
type Attach struct {
	_msgpack struct{} `msgpack:",as_array"`

	Status Status
	Runs   []RunID
	// Ends are those of the last seconds, for the gateway may have missed them.
	Ends []Ended
}

// Status tells a gateway about the worker of an agent.
type Status struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Available reports whether starts are accepted.
	Available bool
	// Stalled reports that no run of the worker makes progress.
	Stalled      bool
	Service      string
	Zone         string
	Labels       []string
	Capacity     specifier.Resources
	UsedByOthers specifier.Resources
}

// Load tells a gateway what runs of other gateways use of the worker.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`

	UsedByOthers specifier.Resources
}

// Backlog tells an agent whether work waits at the gateway for room, and the priority of
// what goes first there.
type Backlog struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting  bool
	Priority int
}

// PermitRequest asks a gateway whether its runs may go on. It is the heartbeat of an
// agent.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence     uint64
	UsedByOthers specifier.Resources
}

// Permit answers an AskPermit. The permit counts from when the question was sent.
type Permit struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
}
