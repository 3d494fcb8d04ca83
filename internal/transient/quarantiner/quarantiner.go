// Package quarantiner decides from the crashes of workers which tasks cause them, and which
// queues have such tasks. A task that was on two crashed workers, and no other task of the
// second one was, is blamed for both: it is given up, and the queue of its job is confined to a
// few workers until it has proved sound again. A crash that no task is blamed for makes the tasks on
// that worker suspects, which are started apart from each other.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// blameCrashes is the number of crashes from which a task may be blamed. Only those count in
	// which its run is known to have been on the worker: a start without an answer may never have
	// been carried out.
	blameCrashes = 2
	// oneAgentCrashes takes the place of blameCrashes for a task whose crashes were all at one
	// agent, whose worker may crash for a cause of its own.
	oneAgentCrashes = 4
	// maxCrashesOfTask is the number of crashes from which a task is blamed even if there are others
	// that the crash may be put down to.
	maxCrashesOfTask = 3
	// retention is how long crashes are remembered, and maxCrashes how many at most. All of them
	// are evaluated anew for each report.
	retention  = time.Minute
	maxCrashes = 256
	// A confined queue is released after soundRunsPerBlame successful runs without a crash for
	// each of its tasks that is blamed, and after maxSoundRuns at most.
	soundRunsPerBlame = 30
	maxSoundRuns      = 100
	// quietPeriod is the time without a crash after which a confined queue is released.
	quietPeriod = 30 * time.Second
)

// Task identifies a task.
type Task struct {
	Job specifier.JobID
	// Index is the index of the task in the job.
	Index int
}

// Blame names a task that is blamed for crashes, and the queue of its job.
type Blame struct {
	Task  Task
	Queue string
}

// Quarantiner holds the recent crashes of workers. It draws its conclusions anew from all of them
// at each report, so that gateways agree in whatever order they learn of the crashes. Only the
// successes since, which clear tasks and release queues, are those of this gateway. The zero value
// knows of no crash. It is not safe for concurrent use.
type Quarantiner struct {
	// crashes holds the recent crashes in order of time.
	crashes []*crash
	// cleared holds when each task that was on a crashed worker has succeeded.
	cleared map[Task]time.Time
	// releasedAt holds when each queue was last released.
	releasedAt map[string]time.Time
	// sound counts the successful runs of each confined queue since its last crash.
	sound map[string]int
	verdicts
}

// verdicts is what follows from the crashes.
type verdicts struct {
	// suspects holds, for each task, the crashes that it was in and that no task is blamed for.
	suspects map[Task]suspicion
	// blamed holds the queues of the blamed tasks, and givenUp their jobs.
	blamed  map[Task]string
	givenUp map[specifier.JobID]bool
	// confined holds when a worker last crashed with a task of each confined queue.
	confined map[string]time.Time
}

// crash is a recorded crash.
type crash struct {
	at     time.Time
	report Report
	// tasks holds the tasks that were on the worker, or on their way to it.
	tasks map[Task]involvement
	// explained is set if a task is blamed for the crash.
	explained bool
}

// involvement is the part of a task in a crash.
type involvement struct {
	queue string
	// known is set if its run is known to have been on the worker.
	known bool
}

// suspicion counts the crashes that a task was in, and those of them in which its run is known to
// have been on the worker. A task that was in any is started apart from the others.
type suspicion struct {
	crashes, known int
}

// HandleReport records a crash, and returns the tasks that are blamed as a result. A crash that was
// reported before has no effect, and added is false.
func (q *Quarantiner) HandleReport(now time.Time, r *Report) (blames []Blame, added bool) {
	known := slices.ContainsFunc(q.crashes, func(c *crash) bool { return c.report.sameCrash(r) })
	if known || r.Crash.Age >= retention {
		return nil, false
	}
	c := &crash{at: now.Add(-r.Crash.Age), report: *r, tasks: make(map[Task]involvement)}
	for _, run := range r.Crash.Runs {
		c.tasks[Task{run.Run.Job, run.Run.Index}] = involvement{run.Queue, run.Delivered}
		delete(q.sound, run.Queue)
	}
	q.crashes = append(q.crashes, c)
	slices.SortStableFunc(q.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if len(q.crashes) > maxCrashes {
		q.crashes = q.crashes[1:]
	}
	before := q.blamed
	q.evaluate()
	for task, queue := range q.blamed {
		if _, known := before[task]; !known {
			blames = append(blames, Blame{task, queue})
		}
	}
	slices.SortFunc(blames, func(a, b Blame) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return blames, true
}

// Reports returns the reports of all recent crashes.
func (q *Quarantiner) Reports(now time.Time) []Report {
	var reports []Report
	for _, c := range q.crashes {
		r := c.report
		r.Crash.Age = now.Sub(c.at)
		reports = append(reports, r)
	}
	return reports
}

// evaluate derives the verdicts from the crashes.
func (q *Quarantiner) evaluate() {
	q.verdicts = verdicts{make(map[Task]suspicion), make(map[Task]string), make(map[specifier.JobID]bool), make(map[string]time.Time)}
	for i, c := range q.crashes {
		c.explained = q.hasBlamed(c)
		if !c.explained {
			q.count(c, 1)
			q.blame(c, q.crashes[:i+1])
		}
		for _, in := range c.tasks {
			if _, confined := q.confined[in.queue]; confined {
				q.confined[in.queue] = c.at
			}
		}
	}
}

// hasBlamed reports whether a task that is blamed was in a crash.
func (q *Quarantiner) hasBlamed(c *crash) bool {
	for task := range c.tasks {
		if _, blamed := q.blamed[task]; blamed {
			return true
		}
	}
	return false
}

// severalAgents reports whether a task is known to have been on workers of several agents at
// crashes that no task is blamed for.
func severalAgents(task Task, crashes []*crash) bool {
	var first *crash
	for _, c := range crashes {
		if !c.tasks[task].known || c.explained {
			continue
		}
		if first != nil && c.report.Agent != first.report.Agent {
			return true
		}
		first = c
	}
	return false
}

// hasConfined reports whether a task of a confined queue was in a crash.
func (q *Quarantiner) hasConfined(c *crash) bool {
	for _, in := range c.tasks {
		if q.Confined(in.queue) {
			return true
		}
	}
	return false
}

// blame blames the only task of a crash that has been in enough crashes, if there is one, and
// clears the other tasks of all crashes that it was in. The argument until holds the crashes up to
// this one. Tasks of confined queues are the likelier cause of a crash than any others, even at
// their first, so with one of them on the worker the others need maxCrashesOfTask.
func (q *Quarantiner) blame(c *crash, until []*crash) {
	var repeated []Task
	for task, in := range c.tasks {
		known := q.suspects[task].known
		if in.known && known >= blameCrashes && (known >= oneAgentCrashes || severalAgents(task, until)) {
			repeated = append(repeated, task)
		}
	}
	if len(repeated) != 1 || q.hasConfined(c) && !q.Confined(c.tasks[repeated[0]].queue) {
		repeated = slices.DeleteFunc(repeated, func(task Task) bool { return q.suspects[task].known < maxCrashesOfTask })
	}
	for _, task := range repeated {
		queue := c.tasks[task].queue
		q.blamed[task], q.givenUp[task.Job] = queue, true
		if c.at.After(q.releasedAt[queue]) {
			q.confined[queue] = c.at
		}
	}
	for _, earlier := range until {
		if !earlier.explained && q.hasBlamed(earlier) {
			earlier.explained = true
			q.count(earlier, -1)
		}
	}
}

// count adds n times a crash to the suspicion against each task that was in it and has not
// succeeded since.
func (q *Quarantiner) count(c *crash, n int) {
	for task, in := range c.tasks {
		if q.cleared[task].After(c.at) {
			continue
		}
		s := q.suspects[task]
		s.crashes += n
		if in.known {
			s.known += n
		}
		q.suspects[task] = s
		if s.crashes <= 0 {
			delete(q.suspects, task)
		}
	}
}

// TaskDone records that a task has succeeded.
func (q *Quarantiner) TaskDone(now time.Time, task Task, queue string) {
	if _, confined := q.confined[queue]; confined {
		if q.sound == nil {
			q.sound = make(map[string]int)
		}
		q.sound[queue]++
	}
	if !q.Suspected(task) {
		return
	}
	delete(q.suspects, task)
	if q.cleared == nil {
		q.cleared = make(map[Task]time.Time)
	}
	q.cleared[task] = now
}

// Suspected reports whether a task was in a crash that no other task is blamed for.
func (q *Quarantiner) Suspected(task Task) bool {
	return q.suspects[task].crashes > 0
}

// GivenUp reports whether a job has a task that is blamed for crashes.
func (q *Quarantiner) GivenUp(job specifier.JobID) bool {
	return q.givenUp[job]
}

// Confined reports whether a queue is confined.
func (q *Quarantiner) Confined(queue string) bool {
	_, confined := q.confined[queue]
	return confined
}

// AnyConfined reports whether any queue is confined.
func (q *Quarantiner) AnyConfined() bool {
	return len(q.confined) > 0
}

// soundRunsNeeded returns the number of successful runs after which a queue is released.
func (q *Quarantiner) soundRunsNeeded(queue string) int {
	blames := 0
	for _, of := range q.blamed {
		if of == queue {
			blames++
		}
	}
	return min(blames*soundRunsPerBlame, maxSoundRuns)
}

// Tick forgets old crashes, and returns the queues that are released.
func (q *Quarantiner) Tick(now time.Time) (released []string) {
	for _, queue := range slices.Sorted(maps.Keys(q.confined)) {
		if q.sound[queue] < q.soundRunsNeeded(queue) && now.Sub(q.confined[queue]) < quietPeriod {
			continue
		}
		released = append(released, queue)
		if q.releasedAt == nil {
			q.releasedAt = make(map[string]time.Time)
		}
		q.releasedAt[queue] = now
		delete(q.confined, queue)
		delete(q.sound, queue)
	}
	old := func(c *crash) bool { return now.Sub(c.at) >= retention }
	if !slices.ContainsFunc(q.crashes, old) {
		return released
	}
	q.crashes = slices.DeleteFunc(q.crashes, old)
	maps.DeleteFunc(q.cleared, func(_ Task, at time.Time) bool { return now.Sub(at) >= retention })
	q.evaluate()
	return released
}
