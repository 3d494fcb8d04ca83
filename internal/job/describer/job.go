// Package describer holds what callers and slices say to each other about jobs:
// the job with its tasks, the outcome of each task, and the answer.
package describer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 130

// Job is a submission as an entry admitted it: the caller's tasks, and the
// parameters of its template and workspace that were in force at that time.
type Job struct {
	_msgpack struct{} `msgpack:",as_array"`

	Submission identifier.Submission
	// Created is when the caller made the identity, by the caller's clock.
	Created  time.Time
	Template string
	// Path is the HTTP path at the backend server that runs the tasks.
	Path string
	// Urgent work goes before all other work.
	Urgent bool
	// NotRepeated is passed on to the backend server. No task is started twice
	// either way.
	NotRepeated bool
	// Budget is how long the caller waits, from the first admission.
	Budget time.Duration
	// Timeout bounds the run of one task at its backend server.
	Timeout time.Duration
	// Inputs holds one body for each task.
	Inputs [][]byte
}

// Digest returns a hash of everything that makes two submissions of one
// identity the same job. The parameters of the template are left out, so that a
// new configuration version does not turn a resubmission into another job.
func (j *Job) Digest() uint64 {
	var d xxhash.Digest
	writeString(&d, j.Template)
	var created [8]byte
	binary.BigEndian.PutUint64(created[:], uint64(j.Created.UnixMilli()))
	_, _ = d.Write(created[:])
	for _, in := range j.Inputs {
		writeString(&d, string(in))
	}
	return d.Sum64()
}

func writeString(d *xxhash.Digest, s string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(s)
}
