package describer

import (
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
)

// Outcome is the outcome of a task.
type Outcome uint8

// The outcomes of a task. Only Succeeded and Failed mean that the backend server has
// answered.
const (
	// Pending means that the task is waiting or running.
	Pending Outcome = iota
	// Succeeded means that the backend server ran the task and reported success.
	Succeeded
	// Failed means that the backend server ran the task and reported a failure.
	Failed
	// NotRun means that the task was never started and never will be.
	NotRun
	// MayHaveRun means that whether the task ran is unknown: the record of it is
	// lost, or no result has arrived in time.
	MayHaveRun
)

// String returns the name of o in snake case, as in the HTTP interface.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	default:
		return "pending"
	}
}

// Result is the result of one task.
type Result struct {
	_msgpack struct{} `msgpack:",as_array"`

	Outcome Outcome
	// Body is the response body of the backend server, if the task succeeded.
	Body []byte
	// Detail says why the task did not succeed.
	Detail string
}

// Answer is the result of a job, with the results of its tasks in the order of the
// tasks. It is complete if every task has succeeded. Otherwise the job has failed, and
// the results have no bodies.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Complete bool
	Results  []Result
	// Refusal is set if the job was not admitted. There are no results in that case.
	Refusal *refuser.Refusal
}

// Assemble returns the answer for the results of all tasks. The answer of a failed job
// has no bodies, so that no caller takes it for a partial result.
func Assemble(results []Result) Answer {
	complete := true
	for _, r := range results {
		if r.Outcome != Succeeded {
			complete = false
		}
	}
	if complete {
		return Answer{Complete: true, Results: results}
	}
	stripped := make([]Result, len(results))
	for i, r := range results {
		stripped[i] = Result{Outcome: r.Outcome, Detail: r.Detail}
	}
	return Answer{Results: stripped}
}
