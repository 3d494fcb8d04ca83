package executor

import "time"

// Ground is why the agent takes a run as over.
type Ground uint8

// The grounds on which a run is taken as over.
const (
	// ListedEnd means that the worker lists the end.
	ListedEnd Ground = iota + 1
	// NotListed means that a hold that was sent after the worker had accepted or listed the run
	// does not list it.
	NotListed
	// NotListedAfterStop means that a hold that was sent after the worker had accepted the stop does
	// not list a run whose start order got no answer.
	NotListedAfterStop
	// EarlierIncarnation means that the run was ordered from an earlier incarnation of the worker,
	// and that a hold of the present one does not list it.
	EarlierIncarnation
	// LeaseOver means that the worker answers no holds and that its lease has expired.
	LeaseOver
	// WorkerGone means that another worker answers at the address.
	WorkerGone
	// PortClosed means that nothing listens at the worker's address.
	PortClosed
	// WorkerRestarted means that another incarnation of the worker answers.
	WorkerRestarted
	// WorkerReplaced means that another incarnation was reported after the worker had exited.
	WorkerReplaced
	// StartUndelivered means that the worker had exited when it was to be ordered to start the run.
	StartUndelivered
	// StartDeclined means that the worker refused to start the run.
	StartDeclined
	// StartFenced means that the worker refused the fencing token of the start order.
	StartFenced
	// RefusedOnArrival means that the agent refused the run and ordered nothing.
	RefusedOnArrival
	// StopUnknown means that the gateway asked to stop a run that is not known here.
	StopUnknown
	// StoppedInQueue, QueueExpired and QueueRefused mean that the run never left the agent's queue:
	// it was stopped there, waited for too long, or the worker is not available any more.
	StoppedInQueue
	QueueExpired
	QueueRefused

	groundCount
)

var groundNames = [...]string{
	ListedEnd:          "listed_end",
	NotListed:          "not_listed",
	NotListedAfterStop: "not_listed_after_stop",
	EarlierIncarnation: "earlier_incarnation",
	LeaseOver:          "lease_over",
	WorkerGone:         "worker_gone",
	PortClosed:         "port_closed",
	WorkerRestarted:    "worker_restarted",
	WorkerReplaced:     "worker_replaced",
	StartUndelivered:   "start_undelivered",
	StartDeclined:      "start_declined",
	StartFenced:        "start_fenced",
	RefusedOnArrival:   "refused_on_arrival",
	StopUnknown:        "stop_unknown",
	StoppedInQueue:     "stopped_in_queue",
	QueueExpired:       "queue_expired",
	QueueRefused:       "queue_refused",
	groundCount:        "",
}

// String returns the name of g in logs and metrics.
func (g Ground) String() string {
	return groundNames[g]
}

// Grounds returns all grounds.
func Grounds() []Ground {
	var all []Ground
	for g := ListedEnd; g < groundCount; g++ {
		all = append(all, g)
	}
	return all
}

// Evidence is what shows that a run is over.
type Evidence struct {
	Ground Ground
	// Age is the time since the hold that shows it was sent; for LeaseOver, since the lease was last
	// extended; for a worker that has exited, since the last hold that it answered was sent; and
	// otherwise since the run was queued or ordered.
	Age time.Duration
}

// exitGround returns the ground on which the runs of a worker are over after a call with the given
// outcome.
func exitGround(outcome CallOutcome) Ground {
	switch outcome {
	case Closed:
		return PortClosed
	case Restarted:
		return WorkerRestarted
	}
	return WorkerGone
}
