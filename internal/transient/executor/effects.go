package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Effect is an action that the process must carry out: a Send, CloseLink, DeferEnd,
// StartRun, StopRun, HoldNow, WorkerConfirmed or WorkerExited.
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

// DeferEnd reports that a run ended while its gateway was not linked. The executor keeps
// the end and sends it with the next Attach, if the gateway links again in time.
type DeferEnd struct {
	To    identifier.Entry
	Ended Ended
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
}

// StopRun orders the worker to stop a run. The outcome of the call goes to
// HandleStopOutcome.
type StopRun struct {
	Worker WorkerIncarnation
	Run    RunID
	Fence  uint64
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

func (Send) effect()            {}
func (CloseLink) effect()       {}
func (DeferEnd) effect()        {}
func (StartRun) effect()        {}
func (StopRun) effect()         {}
func (HoldNow) effect()         {}
func (WorkerConfirmed) effect() {}
func (WorkerExited) effect()    {}
