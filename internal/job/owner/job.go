package owner

import (
	"container/heap"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// job is an admitted submission. Once it has ended, only its answer is kept.
type job struct {
	describer.Job

	digest   uint64
	deadline time.Time
	tasks    []task
	left     int
	waiters  []RequestID
	ended    bool
	answer   describer.Answer
	// place is the job's index in the heap of deadlines.
	place int
}

type state uint8

const (
	waiting state = iota
	sent
	ended
)

type task struct {
	state state
	// epoch and attempt are those of the last start that was sent.
	epoch       identifier.Epoch
	attempt     uint32
	agent       identifier.Agent
	incarnation identifier.Incarnation
	at          time.Time
	result      describer.Result
}

func newJob(now time.Time, described describer.Job, digest uint64) *job {
	return &job{
		Job:      described,
		digest:   digest,
		deadline: now.Add(described.Budget),
		tasks:    make([]task, len(described.Inputs)),
		left:     len(described.Inputs),
	}
}

// finish makes the answer and drops what is no longer needed.
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

// deadlines is a heap of the jobs without an answer, the earliest deadline first.
type deadlines []*job

func (d *deadlines) add(j *job) {
	heap.Push(d, j)
}

func (d *deadlines) remove(j *job) {
	heap.Remove(d, j.place)
}

// due returns a job whose deadline has passed, or nil.
func (d deadlines) due(now time.Time) *job {
	if len(d) == 0 || now.Before(d[0].deadline) {
		return nil
	}
	return d[0]
}

// Len is part of heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less is part of heap.Interface.
func (d deadlines) Less(i, k int) bool { return d[i].deadline.Before(d[k].deadline) }

// Swap is part of heap.Interface.
func (d deadlines) Swap(i, k int) {
	d[i], d[k] = d[k], d[i]
	d[i].place, d[k].place = i, k
}

// Push is part of heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.place = len(*d)
	*d = append(*d, j)
}

// Pop is part of heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}
