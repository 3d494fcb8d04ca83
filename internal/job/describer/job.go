// Package describer defines the types that describe a job to callers and between
// packages: the job with its tasks, the outcome of each task, and the answer.
package describer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 130

// Job is a submission as an entry has accepted it: the caller's tasks, and the
// parameters of its template and workspace from the configuration at that time.
type Job struct {
	_msgpack struct{} `msgpack:",as_array"`

	Submission identifier.Submission
	// Created is when the caller created the identity, by the caller's clock.
	Created  time.Time
	Template string
	// Path is the HTTP path of the tasks at the backend server.
	Path string
	// Urgent jobs are scheduled before all others.
	Urgent bool
	// NotRepeated says that the caller has marked the job as not to be repeated. It
	// is passed on to the backend server; no task is started twice in any case.
	NotRepeated bool
	// Budget is how long the caller waits for the answer, from the first admission.
	Budget time.Duration
	// Timeout limits the run time of one task at its backend server.
	Timeout time.Duration
	// Inputs holds the request body of each task.
	Inputs [][]byte
}

// Digest returns a hash that tells a resubmission from another job under the same
// identity. It covers the name of the template, the creation time and the inputs. It
// leaves out the parameters of the template, so that a resubmission after a change of
// the configuration has the same digest.
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
