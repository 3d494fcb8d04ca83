// Package specifier describes transient jobs: what a caller asks for and what a
// queue allows. A transient job is kept in the memory of the gateway that received
// it and nowhere else. Its caller waits for it on an open connection and submits it
// again, from the start, if that connection breaks.
package specifier

import (
	"regexp"
	"time"

	"github.com/pkg/errors"
)

// JobID is the identity that a caller gives to a job: 16 hexadecimal digits.
type JobID string

var validJobID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ParseJobID returns the identity in s.
func ParseJobID(s string) (JobID, error) {
	if !validJobID.MatchString(s) {
		return "", errors.Errorf("%.40q is not a job identity; use 16 hexadecimal digits in lower case", s)
	}
	return JobID(s), nil
}

// MaxTasks is the largest number of tasks in a job. It bounds the memory that one
// request can claim.
const MaxTasks = 1000

// Job is a number of equal tasks with one identity and one answer.
type Job struct {
	ID    JobID
	Queue Queue
	// Spec is passed to each task as it is.
	Spec   string
	Tasks  int
	Demand Resources
	// Estimate is the caller's rough idea of the run time of a task, zero if there
	// is none.
	Estimate time.Duration
	// Rack is where the data of the job lies, empty for anywhere.
	Rack string
	// Label must be among the labels of a worker, unless it is empty.
	Label string
	// Budget is how long the caller waits.
	Budget time.Duration
}

// Queue is a kind of work with its rules, as the manifest declares it.
type Queue struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Service string
	// Priority orders queues; zero goes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed.
	MaxAttempts int
	// Stretch times the run time of the longest task, plus Objective, is the
	// latency objective of a job.
	Stretch       float64
	BaseObjective time.Duration
	// Timeout bounds the wait for an answer.
	Timeout time.Duration
}

// LatencyObjective is how long after its arrival a job should be answered, if its tasks run for
// the given time.
func (q *Queue) LatencyObjective(run time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(run)) + q.BaseObjective
}
