// Package specifier defines transient jobs: the request of a caller and the rules of
// its queue. A transient job exists only in the memory of the gateway that received
// it. Its caller waits for the answer on an open connection and submits the job again,
// from the start, if that connection breaks.
package specifier

import (
	"regexp"
	"time"

	"github.com/pkg/errors"
)

// JobID identifies a job. The caller chooses it: 16 hexadecimal digits in lower case.
type JobID string

var validJobID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ParseJobID checks that s is a valid job identity and returns it.
func ParseJobID(s string) (JobID, error) {
	if !validJobID.MatchString(s) {
		return "", errors.Errorf("%.40q is not a job identity; use 16 hexadecimal digits in lower case", s)
	}
	return JobID(s), nil
}

// MaxTasks is the largest number of tasks in a job. It bounds the memory that one
// request can allocate.
const MaxTasks = 1000

// Job is a set of identical tasks that is submitted and answered as a whole.
type Job struct {
	ID    JobID
	Queue Queue
	// Spec is passed to each task unchanged.
	Spec string
	// Tasks is the number of tasks.
	Tasks int
	// Demand is what each task needs of a worker.
	Demand Resources
	// Estimate is the caller's estimate of the run time of a task. Zero means no
	// estimate.
	Estimate time.Duration
	// Rack is the rack that holds the data of the job. Tasks prefer workers there.
	// Empty means no preference.
	Rack string
	// Label restricts the job to workers that carry this label. Empty means no
	// restriction.
	Label string
	// Budget is how long the caller waits for the answer.
	Budget time.Duration
}

// Queue holds the rules for one class of jobs, as declared in the manifest.
type Queue struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name string
	// Service is the service whose workers run the tasks.
	Service string
	// Priority orders queues. Zero is the most urgent.
	Priority int
	// MaxAttempts is the number of failures of a task after which its job fails. Runs that
	// end in another way, such as a refused start, do not count.
	MaxAttempts int
	// The latency objective of a job is Stretch times the run time of its longest task,
	// plus BaseObjective.
	Stretch       float64
	BaseObjective time.Duration
	// Timeout is how long a caller that states no deadline waits. Zero means the default
	// of the gateway.
	Timeout time.Duration
}

// LatencyObjective returns how long after its arrival a job should be answered if its
// tasks run for the given time.
func (q *Queue) LatencyObjective(run time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(run)) + q.BaseObjective
}
