package limiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// rateWindow is how far back rates are observed, about. Peaks last for seconds.
const rateWindow = 2 * time.Second

// rate is the moving average of a quantity in each second.
type rate struct {
	value float64
	at    time.Time
}

// add adds a quantity.
func (r *rate) add(now time.Time, quantity float64) {
	r.value, r.at = r.perSecond(now)+quantity/rateWindow.Seconds(), now
}

// perSecond returns the average.
func (r *rate) perSecond(now time.Time) float64 {
	if !now.After(r.at) {
		return r.value
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// queue is what is known of the jobs of a queue.
type queue struct {
	started rate
	// tasks is the moving average of the number of tasks of a job.
	tasks float64
	// arrivals and refusals count the jobs with at most the average number of tasks, and those with
	// more.
	arrivals, refusals [2]rate
}

// averageDivisor is the inverse weight of a job in the average number of tasks.
const averageDivisor = 32

// queue returns the record of a queue.
func (l *Limiter) queue(name string) *queue {
	if l.queues == nil {
		l.queues = make(map[string]*queue)
	}
	q := l.queues[name]
	if q == nil {
		q = &queue{}
		l.queues[name] = q
	}
	return q
}

// size returns the class of a job with a number of tasks.
func (q *queue) size(tasks int) int {
	if float64(tasks) > q.tasks {
		return 1
	}
	return 0
}

// arrived records a job.
func (q *queue) arrived(now time.Time, tasks int) {
	if q.tasks == 0 {
		q.tasks = float64(tasks)
	}
	q.tasks += (float64(tasks) - q.tasks) / averageDivisor
	q.arrivals[q.size(tasks)].add(now, 1)
}

// refused records a refused job.
func (q *queue) refused(now time.Time, tasks int) {
	q.refusals[q.size(tasks)].add(now, 1)
}

// refusalShare returns the share of the jobs of a class that is refused.
func (q *queue) refusalShare(now time.Time, size int) float64 {
	return q.refusals[size].perSecond(now) / max(q.arrivals[size].perSecond(now), 1e-9)
}

// spared reports which jobs are to be passed over: those whose queue gets less than its floor, and those
// of a size that is refused more than maxRefusalRatio times as often as the other jobs of their queue. The
// first are floored as well.
func (l *Limiter) spared(now time.Time, jobs []Job) (spared, floored []bool) {
	total := 0.0
	// Sums of floating-point numbers depend on the order of the addends.
	for _, name := range slices.Sorted(maps.Keys(l.queues)) {
		total += l.queues[name].started.perSecond(now)
	}
	// sparing is what holds for the jobs of a queue: floored, and spared by their size.
	type sparing struct {
		floored bool
		sizes   [2]bool
	}
	known := make(map[string]sparing)
	spared, floored = make([]bool, len(jobs)), make([]bool, len(jobs))
	for i, j := range jobs {
		q := l.queue(j.Queue)
		of, found := known[j.Queue]
		if !found {
			below := q.started.perSecond(now) < floorShare*total
			of = sparing{below, [2]bool{below, below || q.refusalShare(now, 1) > maxRefusalRatio*q.refusalShare(now, 0)}}
			known[j.Queue] = of
		}
		spared[i], floored[i] = of.sizes[q.size(j.Tasks)], of.floored
	}
	return spared, floored
}
