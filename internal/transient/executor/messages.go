package executor

import (
	"fmt"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// RunID identifies one run of a task. A later run of the same task has a higher number.
type RunID struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job specifier.JobID
	// Index is the index of the task in the job.
	Index  int
	Number uint64
}

// String returns r in the form JOB#INDEX@NUMBER.
func (r RunID) String() string {
	return fmt.Sprintf("%s#%d@%d", r.Job, r.Index, r.Number)
}

// Start asks an agent to start a task.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
	// Queue is the name of the job's queue.
	Queue string
	// Service is the service that the worker must belong to.
	Service string
	Spec    string
	Demand  specifier.Resources
	// Priority is that of the run's queue. Zero is the most urgent.
	Priority int
	// Permit is granted with the start, so that the agent need not request one first.
	Permit Permit
	// WorkerStartedAt identifies the incarnation of the worker that the gateway chose. It is zero if
	// the gateway does not know it.
	WorkerStartedAt time.Time
	// Expected is the expected run time on an average worker.
	Expected time.Duration
}

// Stop asks an agent to stop a run, or to make sure that it never starts.
type Stop struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
}

// Outcome is the way in which a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// Done means that the run succeeded.
	Done Outcome = iota + 1
	// Failed means that the task or the worker failed.
	Failed
	// Stopped means that the run was stopped by an order.
	Stopped
	// Lapsed means that the worker's lease expired or the worker exited.
	Lapsed
	// Refused means that the run has not started and never will.
	Refused
)

var outcomeNames = [...]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", Refused: "refused"}

// String returns the name of o as it appears in logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) || o == 0 {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// Ended reports the end of a run to the gateway that requested it.
type Ended struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run     RunID
	Outcome Outcome
	// Reason says why a run was refused.
	Reason Reason
	// Took is the time from when the agent learned that the run had started until it
	// learned of the end. For a run that is not known to have started, it counts from when
	// the run was queued or ordered.
	Took time.Duration
	// UsedByOthers is the capacity of the worker that other gateways use.
	UsedByOthers specifier.Resources
}

// Reason says why a run was refused.
type Reason string

// The reasons for which an agent refuses a run, or reports that it never started.
const (
	NoWorker   Reason = "no_worker"
	Draining   Reason = "draining"
	NoPermit   Reason = "no_permit"
	NoRoom     Reason = "no_room"
	Duplicate  Reason = "duplicate"
	Rejected   Reason = "rejected"
	Unanswered Reason = "unanswered"
	// Evacuated means that the data centre of the worker is evacuated.
	Evacuated Reason = "evacuated"
)

// Attach is the first message of an agent on a new link. It lists the gateway's runs at
// the agent; a start that is not listed has not arrived and never will.
type Attach struct {
	_msgpack struct{} `msgpack:",as_array"`

	Status Status
	Runs   []RunID
	// Ends are the ends of the last seconds, which the gateway may have missed.
	Ends []Ended
	// Crashes are the latest crashes of the worker.
	Crashes []Crash
}

// Crash reports that the worker's process has ended without being asked to, while its VM and
// its agent went on. One of the runs on it may be the cause.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Worker and StartedAt identify the process.
	Worker    string
	StartedAt time.Time
	// Age is the time from when the agent learned of the crash until the message was sent.
	Age  time.Duration
	Runs []CrashedRun
}

// CrashedRun is a run that was on a worker when it crashed, or whose start was under way.
type CrashedRun struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
	// Queue is the name of the job's queue.
	Queue string
	// Delivered is set if the worker is known to have started the run.
	Delivered bool
}

// Status describes the worker of an agent to a gateway.
type Status struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Available reports whether starts are accepted.
	Available bool
	// Stalled reports that the worker's runs make no progress.
	Stalled      bool
	Service      string
	Zone         string
	Labels       []string
	Capacity     specifier.Resources
	UsedByOthers specifier.Resources
	// Worker is the incarnation that the status describes.
	Worker WorkerIncarnation
	// Evacuated reports that the worker's data centre is evacuated.
	Evacuated bool
	// ColdFor is how much longer the worker is slow after its start.
	ColdFor time.Duration
	// Leaving reports that the worker drains, and LeavesIn the least time until it leaves.
	Leaving  bool
	LeavesIn time.Duration
	Speed    estimator.Speed
	// CutOff lists the runs of the gateway that do not end before the worker leaves, by their progress.
	CutOff []CutOffRun
}

// CutOffRun is a run that does not end before its worker leaves.
type CutOffRun struct {
	_msgpack struct{} `msgpack:",as_array"`

	Run RunID
	// Total is how long the run takes on the worker in all, by its progress.
	Total time.Duration
}

// Load tells a gateway how much of the worker's capacity other gateways use.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`

	UsedByOthers specifier.Resources
}

// Backlog tells an agent whether tasks wait at the gateway for capacity.
type Backlog struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting bool
	// Priority is that of the most urgent tasks, and Demand the smallest demand among them.
	Priority int
	Demand   specifier.Resources
	// Work is the CPU time that the waiting tasks of that priority need, and DueIn the time until
	// the earliest of them is due.
	Work  time.Duration
	DueIn time.Duration
}

// PermitRequest asks a gateway whether its runs may continue. While there are none, it is
// the heartbeat of the agent.
type PermitRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence     uint64
	UsedByOthers specifier.Resources
}

// Permit allows the runs of a gateway to continue. It refers to a PermitRequest and is valid
// for PermitDuration, counted from when that request was sent plus Age. The gateway sends it
// no earlier than that, so a permit that is delivered late is valid for a shorter time.
type Permit struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	// Age is the time from the arrival of the request at the gateway until the permit was
	// sent.
	Age time.Duration
}

// Release asks a gateway to send no more starts on this link, and to close it when its runs
// have ended.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"`
}
