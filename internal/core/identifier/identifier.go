// Package identifier defines the identifiers that all parts of the system share: those
// of submissions, tasks, partitions and processes.
//
// Identifiers are immutable values that can be compared, used as map keys and sent
// between processes.
package identifier

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Submission is the identifier that a caller gives to a job. Two requests with equal
// workspace and key are the same submission, whichever entry they reach.
type Submission struct {
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Key       string
}

// String returns the workspace and the key, joined by a slash.
func (s Submission) String() string {
	return s.Workspace + "/" + s.Key
}

// Compare orders submissions by workspace and key.
func (s Submission) Compare(other Submission) int {
	return cmp.Or(cmp.Compare(s.Workspace, other.Workspace), cmp.Compare(s.Key, other.Key))
}

// Partition returns the partition of s among count partitions.
func (s Submission) Partition(count int) Partition {
	var d xxhash.Digest
	_, _ = d.WriteString(s.Workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(s.Key)
	return Partition(d.Sum64() % uint64(count))
}

// Task identifies a task by its submission and its index in the job, from zero.
type Task struct {
	_msgpack struct{} `msgpack:",as_array"`

	Submission Submission
	Index      int
}

// String returns the submission and the index, joined by a hash sign.
func (t Task) String() string {
	return t.Submission.String() + "#" + strconv.Itoa(t.Index)
}

// Compare orders tasks by submission and index.
func (t Task) Compare(other Task) int {
	return cmp.Or(t.Submission.Compare(other.Submission), cmp.Compare(t.Index, other.Index))
}

// Partition is the number of a partition of all submissions, from zero.
type Partition uint16

// Epoch counts the owners that a partition has had. The first owner has epoch one; zero
// means that the partition never had an owner.
type Epoch uint64

// Incarnation identifies one run of a process under its name, as recorded in the table
// service. A higher incarnation proves that every lower one has ended.
type Incarnation uint64

// NextIncarnation returns an incarnation above last. It is derived from the clock, so that
// it also rises when the record of the last one has been deleted.
func NextIncarnation(now time.Time, last Incarnation) Incarnation {
	return max(last+1, Incarnation(now.UnixMilli()))
}

// StartedBefore reports whether a process of incarnation i started earlier than one of incarnation o
// by more than a margin, by their clocks.
func (i Incarnation) StartedBefore(o Incarnation, margin time.Duration) bool {
	return i+Incarnation(margin.Milliseconds()) < o
}

// Entry is the name of an entry or gateway process, unique within a cell.
type Entry string

// Agent is the name of an agent process, or of a sidecar in its role as an agent, unique
// within a cell.
type Agent string

// DataCentre is the name of a data centre.
type DataCentre string

// Clock returns the current time. It is read only by code that does input and output or
// runs on a timer; code that makes decisions takes the time as an argument.
type Clock func() time.Time
