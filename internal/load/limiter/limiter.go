// Package limiter performs admission control under peak load, when more work arrives than can be
// done in time. It does no I/O and reads no clock.
package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/forecaster"
)

const (
	// sustainedAfter is how long work has to wait without interruption before a job is refused for
	// it. Shorter bursts drain by themselves; refusals are to come within tens of milliseconds.
	sustainedAfter = 50 * time.Millisecond
	// Nothing is refused while the capacity grows by more than maxGrowth within settledAfter. After a
	// loss of power and at a restart, workers come back one by one within about that time.
	settledAfter = 300 * time.Millisecond
	maxGrowth    = 1.2
	// usableShare is the share of the capacity that runs tasks under a peak. The rest is lost to tasks
	// that do not fit, to starts that are on their way, and to run times above the estimates.
	usableShare = 0.75
	// admissionShare is the share of the time until its latest start within which a job has to be
	// expected to start when it arrives. It is refused later only when all of that time is not enough,
	// so that most refusals come at the arrival.
	admissionShare = 0.6
	// overtakingShare is the share of the more urgent work that arrives meanwhile which goes before a
	// waiting job. The rest finds the job begun, or has capacity that a less urgent task leaves.
	overtakingShare = 0.25
	// floorShare is the share of the started work that each queue keeps while it has waiting jobs,
	// so that a less urgent queue is not starved.
	floorShare = 0.1
	// maxRefusalRatio is how many times as often as the other jobs of their queue those with the
	// most tasks are refused.
	maxRefusalRatio = 2
	// maxDrained limits Decision.Drained, by which refused callers are told when to come back. Demand
	// changes within seconds, and a rate near zero gives times that overflow.
	maxDrained = time.Minute
	// minOwnShare is the least part of the capacity that a gateway without news from the others counts as
	// its own. The others may use all of it for a moment, but agents grant freed capacity to each gateway.
	minOwnShare = 0.1
	// minShare is the least part of the work in the cell that is taken to arrive at a gateway. It bounds
	// the estimate of what arrives elsewhere.
	minShare = 0.01
)

// Job is a waiting job as the limiter sees it.
type Job struct {
	Queue    string
	Priority int
	// Tasks is the number of tasks of the job, and Work the CPU time that those need that wait.
	Tasks int
	Work  time.Duration
	// Arrived is when the job arrived, and LatestStart when the last task has to be started for the job
	// to be in time.
	Arrived, LatestStart time.Time
	// Admitted is set once a decision has left the job waiting.
	Admitted bool
	// Kept is set for a job that may not be refused, because a task of it was started or could be
	// started now. It counts as work.
	Kept bool
}

// limit returns by when the job has to be expected to start.
func (j *Job) limit() time.Time {
	if j.Admitted {
		return j.LatestStart
	}
	return j.Arrived.Add(scaled(j.LatestStart.Sub(j.Arrived), admissionShare))
}

// Supply is what a gateway knows of the capacity of a service and of the other gateways.
type Supply struct {
	// Capacity is the CPU time in each second that the available workers of the service have, and
	// Own the part that other gateways leave to this one.
	Capacity, Own time.Duration
	// OthersStarted is the CPU time that the other gateways at which work waits have started in each
	// second. It is zero if no work waits there or that is not known.
	OthersStarted time.Duration
	// OthersWaiting returns the CPU time that waits at the other gateways in queues of a priority or
	// a more urgent one. It is nil if that is not known.
	OthersWaiting func(priority int) time.Duration
}

// Limiter decides which jobs of a service are refused. The zero value is ready for use. A Limiter is
// not safe for concurrent use.
type Limiter struct {
	forecaster forecaster.Forecaster
	queues     map[string]*queue
	// arriving holds the rate at which work arrives in each priority.
	arriving map[int]*rate
	// waitingSince is since when work waits without interruption, or zero.
	waitingSince time.Time
	// capacity is the least one since capacityAt, and previousCapacity the least one in the time before
	// that, of which each is half of settledAfter long.
	capacity, previousCapacity time.Duration
	capacityAt                 time.Time
}

// Arrived records a job that has arrived.
func (l *Limiter) Arrived(now time.Time, j Job) {
	if l.arriving == nil {
		l.arriving = make(map[int]*rate)
	}
	r := l.arriving[j.Priority]
	if r == nil {
		r = &rate{}
		l.arriving[j.Priority] = r
	}
	r.add(now, j.Work.Seconds())
	l.queue(j.Queue).arrived(now, j.Tasks)
}

// Started records that work of a queue was started.
func (l *Limiter) Started(now time.Time, queue string, work time.Duration) {
	l.forecaster.Started(now, work)
	l.queue(queue).started.add(now, work.Seconds())
}

// Refused records that a job was refused.
func (l *Limiter) Refused(now time.Time, j Job) {
	l.queue(j.Queue).refused(now, j.Tasks)
}

// SetBacklogged records whether work waits from now on. It must be called periodically.
func (l *Limiter) SetBacklogged(now time.Time, backlogged bool) {
	l.forecaster.SetBacklogged(now, backlogged)
	switch {
	case !backlogged:
		l.waitingSince = time.Time{}
	case l.waitingSince.IsZero():
		l.waitingSince = now
	}
}

// Rate returns the CPU time that is started in each second, in the cell or at this gateway if nothing is
// known of the others: what the workers have for it, since no capacity is free in a peak, or what is
// observed if that is less, here and at the other gateways at which work waits. It addresses the start
// of a peak, when nothing is observed, and workers that are slower than expected or have just left.
func (l *Limiter) Rate(now time.Time, s Supply) time.Duration {
	if s.OthersWaiting == nil {
		return scaled(max(s.Own, scaled(s.Capacity, minOwnShare)), usableShare)
	}
	rate := scaled(s.Capacity, usableShare)
	if observed, known := l.forecaster.Rate(now); known {
		rate = min(rate, observed+s.OthersStarted)
	}
	return rate
}

// Decision is what is decided of the waiting jobs of a service.
type Decision struct {
	// Made is set if the jobs that are not refused are admitted. It is not set while there is no
	// sustained peak.
	Made bool
	// Refused holds the indexes of the jobs to refuse, in ascending order, and Waits the expected
	// wait of each of them.
	Refused []int
	Waits   []time.Duration
	// Rate is the CPU time that is started in each second, Backlog what waits in the cell, and
	// Drained how long the jobs that remain take to be started, at most maxDrained.
	Rate, Backlog, Drained time.Duration
}

// Decide returns which of the waiting jobs, in the order in which they are started, are to be refused
// so that the others can be in time. It addresses a sustained peak, and a herd of callers that returns
// at the same moment: capacity that is used for a job that is late is taken from one that would be in
// time. Where a job can not be in time, the least urgent job up to it is refused, the latest to arrive
// first. Work that waits elsewhere counts in proportion to the work of this gateway that it competes
// with, so that gateways refuse no more than their own part.
func (l *Limiter) Decide(now time.Time, jobs []Job, s Supply) Decision {
	// The capacity is recorded at each call.
	settled := l.settled(now, s.Capacity)
	sustained := !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= sustainedAfter
	if len(jobs) == 0 || !settled || !sustained {
		return Decision{}
	}
	d := Decision{Made: true, Rate: l.Rate(now, s)}
	rate := max(d.Rate.Seconds(), 1e-3)
	competitors := l.competitors(now, jobs, rate, s)
	refused := make([]bool, len(jobs))
	spared, floored := l.spared(now, jobs)
	// ahead is the work up to and including a job, and kept the part of it that can not be refused.
	ahead, kept := time.Duration(0), time.Duration(0)
	waits := make([]time.Duration, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		d.Backlog += j.Work
		ahead += j.Work
		if j.Kept {
			kept += j.Work
		}
		c := competitors[j.Priority]
		// A job that is late behind the kept work alone is refused itself: no other refusal helps it.
		hopeless := now.Add(c.wait(kept)).After(j.limit())
		for now.Add(c.wait(ahead)).After(j.limit()) {
			v := i
			if !hopeless {
				v = victim(jobs[:i+1], refused, spared, floored[i])
			}
			if v < 0 || jobs[v].Kept {
				break
			}
			refused[v], waits[v] = true, c.wait(ahead)
			ahead -= jobs[v].Work
			if v == i {
				break
			}
		}
	}
	for i := range jobs {
		if refused[i] {
			d.Refused, d.Waits = append(d.Refused, i), append(d.Waits, waits[i])
		}
	}
	if s.OthersWaiting != nil {
		// Late jobs are last, so the last one need not be the least urgent.
		least := slices.MaxFunc(jobs, func(a, b Job) int { return cmp.Compare(a.Priority, b.Priority) })
		others := s.OthersWaiting(least.Priority)
		d.Backlog, ahead = d.Backlog+others, ahead+others
	}
	d.Drained = min(scaled(ahead, 1/rate), maxDrained)
	return d
}

// settled reports whether there is capacity that does not grow at present.
func (l *Limiter) settled(now time.Time, capacity time.Duration) bool {
	settled := capacity > 0 && capacity <= scaled(min(l.capacity, l.previousCapacity), maxGrowth)
	switch age := now.Sub(l.capacityAt); {
	case age >= settledAfter:
		l.previousCapacity, l.capacity, l.capacityAt = capacity, capacity, now
	case age >= settledAfter/2:
		l.previousCapacity, l.capacity, l.capacityAt = l.capacity, capacity, now
	default:
		l.capacity = min(l.capacity, capacity)
	}
	return settled
}

// competitor describes the work that the jobs of a priority compete with.
type competitor struct {
	// factor is the ratio of the work in the cell to that of this gateway, in queues of the priority or
	// a more urgent one, and rate what more urgent work leaves to the priority.
	factor, rate float64
}

// wait returns how long it takes until an amount of work of this gateway has been started.
func (c competitor) wait(work time.Duration) time.Duration {
	return scaled(work, c.factor/c.rate)
}

// competitors returns the competitor of each priority of the jobs. Without news from the other gateways
// they are taken to get the same mix of work, so that urgent work gets the share of the others' less
// urgent work as well.
func (l *Limiter) competitors(now time.Time, jobs []Job, rate float64, s Supply) map[int]competitor {
	own := make(map[int]time.Duration)
	for _, j := range jobs {
		own[j.Priority] += j.Work
	}
	part := 1.0
	if s.OthersWaiting != nil {
		part = max(s.Own.Seconds()/s.Capacity.Seconds(), minShare)
	}
	// Sums of floating-point numbers depend on the order of the addends.
	priorities := slices.Sorted(maps.Keys(l.arriving))
	competitors := make(map[int]competitor, len(own))
	for priority := range own {
		waiting := time.Duration(0)
		for p, work := range own {
			if p <= priority {
				waiting += work
			}
		}
		arriving, upTo, before := 0.0, 0.0, 0.0
		for _, p := range priorities {
			n := l.arriving[p].perSecond(now)
			arriving += n
			if p <= priority {
				upTo += n
			}
			if p < priority {
				before += n
			}
		}
		c := competitor{factor: 1, rate: rate}
		if s.OthersWaiting != nil {
			c.factor += s.OthersWaiting(priority).Seconds() / max(waiting.Seconds(), 1e-3)
		} else if upTo > 0 {
			c.rate = min(rate*arriving/upTo, max(rate, usableShare*s.Capacity.Seconds()))
		}
		c.rate = max(c.rate-overtakingShare*before/part, rate*floorShare)
		competitors[priority] = c
	}
	return competitors
}

// victim returns the index of the job to refuse among the first jobs, the last of which can not be in
// time, or -1 if none can be refused. Spared jobs are refused if nothing else is left, and more urgent
// ones than the last only if that one's queue is below its floor.
func victim(jobs []Job, refused, spared []bool, floored bool) int {
	best := -1
	for i := range jobs {
		if refused[i] || jobs[i].Kept || jobs[i].Priority < jobs[len(jobs)-1].Priority && !floored {
			continue
		}
		if best < 0 || before(&jobs[i], spared[i], &jobs[best], spared[best]) {
			best = i
		}
	}
	return best
}

// before reports whether job j is refused before o.
func before(j *Job, jSpared bool, o *Job, oSpared bool) bool {
	switch {
	case jSpared != oSpared:
		return !jSpared
	case j.Priority != o.Priority:
		// A higher number is less urgent.
		return j.Priority > o.Priority
	}
	return !j.Arrived.Before(o.Arrived)
}

// scaled returns a multiple of a duration.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
