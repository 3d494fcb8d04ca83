// Package identifier holds the identities that every slice shares: who submits,
// which partition a submission belongs to, and which process is meant by a
// message.
//
// The identities are values. They can be compared, used as map keys and sent
// between processes, and they never change once they are made.
package identifier

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Submission is the identity that a caller gives to a job. Two requests with
// equal workspace and key are the same submission, whatever entry they reach.
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

// Task names one task of a submission by its place in the job, from zero.
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

// Partition numbers a share of all submissions, from zero.
type Partition uint16

// Epoch counts the owners that a partition has had. The first owner has epoch
// one; zero means that there never was an owner.
type Epoch uint64

// Incarnation numbers the starts of a process under one name, as recorded in the
// table service. A higher incarnation proves that every lower one has ended.
type Incarnation uint64

// NextIncarnation returns an incarnation above last. It follows the clock, so
// that it also rises when the record of the last one has been deleted.
func NextIncarnation(now time.Time, last Incarnation) Incarnation {
	return max(last+1, Incarnation(now.UnixMilli()))
}

// Entry is the name of an entry process, unique within a cell.
type Entry string

// Agent is the name of an agent process, unique within a cell.
type Agent string

// DataCentre is the name of a data centre.
type DataCentre string

// Clock tells the present time. Only the edges of a process read it; functions
// that decide take the time as an argument.
type Clock func() time.Time
