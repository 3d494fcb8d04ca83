package coordinator

import (
	"hash/fnv"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// minRetryAfter is the shortest RetryAfter of a job that was not run. Demand changes within
	// seconds.
	minRetryAfter = time.Second
	// noWorkerWait is how long a job waits while no worker of its service is available. All
	// workers are unavailable for a moment after a loss of power and at a restart.
	noWorkerWait = time.Second
)

// work returns the CPU time that the pending tasks of a job need.
func (j *job) work() time.Duration {
	return time.Duration(len(j.pending)) * taskWork(j)
}

// taskWork returns the CPU time that a task of a job needs. Demands are in millicores.
func taskWork(j *job) time.Duration {
	return j.expectedRun * time.Duration(j.Demand.CPU) / 1000
}

// refuseUnservable ends the waiting jobs that cannot be answered before their callers leave, so
// that the callers learn at once that nothing was run: those behind more work than will be
// started by then, when a burst lasts, and those without an available worker. It leaves jobs
// with started tasks alone.
func (c *Coordinator) refuseUnservable(now time.Time) []Effect {
	c.noteAvailable(now)
	if c.Policy.EarlyRefusal {
		return append(c.refuseEarly(now), c.checkEarlyRefusals(now)...)
	}
	type refusal struct {
		j     *job
		cause string
	}
	var refused []refusal
	ahead := time.Duration(0)
	for _, j := range c.waiting {
		if c.confined(j) {
			continue
		}
		ahead += j.work()
		if j.started {
			continue
		}
		wait, known := c.forecaster.Wait(now, ahead)
		switch {
		case now.Sub(c.availableAt(j)) >= noWorkerWait:
			refused = append(refused, refusal{j, "no_worker_available"})
		case known && now.Add(wait+j.minRun()).After(j.deadline):
			refused = append(refused, refusal{j, "backlog_exceeds_deadline"})
			ahead -= j.work()
		}
	}
	drained := minRetryAfter
	if wait, known := c.forecaster.Wait(now, ahead); known {
		drained = max(drained, wait)
	}
	var effects []Effect
	for _, r := range refused {
		if r.cause == "backlog_exceeds_deadline" {
			c.refusedUntil = append(c.refusedUntil, r.j.deadline.Add(-r.j.minRun()))
		}
		effects = append(effects, c.end(now, r.j, Answer{State: NotRun, RetryAfter: spread(drained, r.j.ID)}, r.cause)...)
	}
	return append(effects, c.checkRefusals(now)...)
}

// minRun returns the shortest likely run time of a task. Estimates are off by up to a half.
func (j *job) minRun() time.Duration {
	return j.expectedRun / 2
}

// spread returns a time between d and one and a half times d that depends on the job, so that
// refused callers do not all come back at the same moment.
func spread(d time.Duration, id specifier.JobID) time.Duration {
	return d + d*time.Duration(hash(string(id))%1024)/2048
}

// hash returns a hash of a list of texts.
func hash(texts ...string) uint32 {
	h := fnv.New32a()
	for _, text := range texts {
		_, _ = h.Write([]byte(text))
	}
	return h.Sum32()
}

// noteAvailable records which services have an available worker.
func (c *Coordinator) noteAvailable(now time.Time) {
	if c.lastAvailable == nil {
		c.lastAvailable = make(map[string]time.Time)
	}
	for _, a := range c.agents {
		if a.attached && c.available(a) {
			c.lastAvailable[a.status.Service] = now
		}
	}
}

// availableAt returns when a worker of the job's service was available last, or when the job
// arrived if that is later.
func (c *Coordinator) availableAt(j *job) time.Time {
	if at := c.lastAvailable[j.Queue.Service]; at.After(j.arrived) {
		return at
	}
	return j.arrived
}

// checkRefusals reports refusals that have proved wrong: no work waits any more at a time
// when the refused job could still have been started.
func (c *Coordinator) checkRefusals(now time.Time) []Effect {
	var effects []Effect
	pending := c.refusedUntil[:0]
	for _, until := range c.refusedUntil {
		switch {
		case !now.Before(until):
		case !c.openBacklog():
			effects = append(effects, LogEvent{Name: EventRefusedInError, Cause: "backlog_drained_early"})
		default:
			pending = append(pending, until)
		}
	}
	c.refusedUntil = pending
	return effects
}
