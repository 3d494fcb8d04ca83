package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Effect is an action that the process must carry out: a Send, CloseLink, RunEnded,
// StartRun, StopRun, HoldNow, WorkerConfirmed, WorkerExited, EndedRunListed, UnknownRunListed or
// EvacuationChanged.
type Effect interface{ effect() }

// Send sends a message to a gateway.
type Send struct {
	To      identifier.Entry
	Message any
}

// CloseLink closes the link to a gateway that does not answer. It is to be dialled again.
type CloseLink struct {
	To identifier.Entry
}

// RunEnded reports that a run is taken as over, to be logged. If its gateway is linked, a Send
// with the end follows. Otherwise the executor keeps the end and sends it with the next Attach, if
// the gateway links again in time.
type RunEnded struct {
	Gateway  identifier.Entry
	Ended    Ended
	Evidence Evidence
}

// StartRun orders the worker to start a run. The outcome of the call goes to
// HandleStartOutcome.
type StartRun struct {
	Worker WorkerIncarnation
	Run    RunID
	Spec   string
	// LeaseEnd is the end of the lease, on the worker's clock.
	LeaseEnd time.Duration
	Fence    uint64
	Sent     time.Time
}

// StopRun orders the worker to stop a run. The outcome of the call goes to
// HandleStopOutcome.
type StopRun struct {
	Worker WorkerIncarnation
	Run    RunID
	Fence  uint64
	Sent   time.Time
}

// HoldNow asks for the next hold to be sent at once.
type HoldNow struct{}

// WorkerConfirmed reports that an incarnation of the worker has answered for the first time. Its
// report is to be stored.
type WorkerConfirmed struct {
	Worker WorkerIncarnation
}

// WorkerExited reports that the worker's process has ended, to be logged.
type WorkerExited struct {
	Worker WorkerIncarnation
	// Runs holds the runs that it may have been running.
	Runs []RunID
	// Announced is set if the worker had reported that it drains, or had deregistered.
	Announced bool
}

// EndedRunListed reports that the worker lists a run that was taken as over before, to be logged.
type EndedRunListed struct {
	Worker WorkerIncarnation
	Run    RunID
	// Outcome is that of the run if the worker lists its end, and zero if it lists the run as running.
	Outcome Outcome
	// Evidence is that on which the run was taken as over, and Ago the time since then.
	Evidence Evidence
	Ago      time.Duration
	// SameIncarnation is set if the run was meant for the incarnation of the worker that lists it.
	SameIncarnation bool
}

// UnknownRunListed reports that the worker lists a run that was not known here, to be logged. An
// earlier incarnation of the agent has started it.
type UnknownRunListed struct {
	Worker WorkerIncarnation
	Run    RunID
}

func (Send) effect()             {}
func (CloseLink) effect()        {}
func (RunEnded) effect()         {}
func (StartRun) effect()         {}
func (StopRun) effect()          {}
func (HoldNow) effect()          {}
func (WorkerConfirmed) effect()  {}
func (WorkerExited) effect()     {}
func (EndedRunListed) effect()   {}
func (UnknownRunListed) effect() {}
