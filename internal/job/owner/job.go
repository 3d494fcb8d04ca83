package owner

import (
	"container/heap"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// job is an admitted submission. After it has ended, its tasks and inputs are
// dropped and its answer is kept.
type job struct {
	describer.Job

	digest    uint64
	deadline  time.Time
	tasks     []task
	openTasks int
	waiters   []RequestID
	ended     bool
	answer    describer.Answer
	// heapIndex is the index of the job in the heap of deadlines.
	heapIndex int
}

type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskEnded
)

type task struct {
	state taskState
	// epoch and attempt identify the last start that was sent.
	epoch       identifier.Epoch
	attempt     uint32
	agent       identifier.Agent
	incarnation identifier.Incarnation
	sentAt      time.Time
	result      describer.Result
}

func newJob(now time.Time, described describer.Job, digest uint64) *job {
	return &job{
		Job:       described,
		digest:    digest,
		deadline:  now.Add(described.Budget),
		tasks:     make([]task, len(described.Inputs)),
		openTasks: len(described.Inputs),
	}
}

// finish assembles the answer and drops the tasks and inputs.
func (j *job) finish() {
	results := make([]describer.Result, len(j.tasks))
	for i, t := range j.tasks {
		results[i] = t.result
	}
	j.answer = describer.Assemble(results)
	j.ended = true
	j.tasks = nil
	j.Inputs = nil
}

// deadlines is a heap of the jobs without an answer, ordered by deadline.
type deadlines []*job

func (d *deadlines) add(j *job) {
	heap.Push(d, j)
}

func (d *deadlines) remove(j *job) {
	heap.Remove(d, j.heapIndex)
}

// due returns a job whose deadline has passed, or nil.
func (d deadlines) due(now time.Time) *job {
	if len(d) == 0 || now.Before(d[0].deadline) {
		return nil
	}
	return d[0]
}

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, k int) bool { return d[i].deadline.Before(d[k].deadline) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, k int) {
	d[i], d[k] = d[k], d[i]
	d[i].heapIndex, d[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}
