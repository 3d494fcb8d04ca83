package describer

import (
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
)

// Outcome says what became of a task.
type Outcome uint8

// The outcomes of a task. Only Succeeded and Failed carry a result.
const (
	// Pending means that the task is waiting or running.
	Pending Outcome = iota
	// Succeeded means that the backend server ran the task and accepted it.
	Succeeded
	// Failed means that the backend server ran the task and reported a failure.
	Failed
	// NotRun means that the task was never started and never will be.
	NotRun
	// MayHaveRun means that the evidence is gone or has not come in time.
	MayHaveRun
)

// String returns the name of o in snake case.
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

// Result is the end of one task.
type Result struct {
	_msgpack struct{} `msgpack:",as_array"`

	Outcome Outcome
	// Body is what the backend server answered.
	Body []byte
	// Detail says why a task failed or did not run.
	Detail string
}

// Answer is the end of a job. It is complete when every task succeeded, in the
// order of the tasks; else it is failed, with what became of each task and no
// body.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Complete bool
	Results  []Result
	// Refusal is set when the job was not admitted; there are no results then.
	Refusal *refuser.Refusal
}

// Assemble returns the answer for the results of all tasks. A failed answer
// carries no bodies, so that no caller takes it for a part of the whole one.
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
