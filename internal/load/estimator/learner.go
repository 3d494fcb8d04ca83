package estimator

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// speedRuns is the number of runs over which the speed is averaged.
	speedRuns = 16
	// priorRuns is the weight of the assumption that a worker is an average one, in runs. Single
	// ratios vary by a factor of two, because callers' estimates are rough.
	priorRuns = 4
	// paceInterval is the least time over which the pace of a running task is measured, and
	// pacePercent the least progress. Workers report whole percents.
	paceInterval = 150 * time.Millisecond
	pacePercent  = 2
	// paceAge is for how long the pace of a task counts. A worker that becomes 4 times slower has to
	// be known within half a second, and measuring takes up to twice paceInterval of that.
	paceAge = 250 * time.Millisecond
	// minPaces is the number of paces from which their median shows a changed speed, and maxEnded
	// the number of ended runs that it counts. The 3 % of tasks that run seven times as long are a sixth of the
	// tasks that run at any time.
	minPaces = 5
	maxEnded = 32
	// changeFactor is how far the median of the paces must be from the speed, twice in a row with
	// at least changeInterval between, to replace it.
	changeFactor   = 2
	changeInterval = 80 * time.Millisecond
	// maxFactor caps the speed: a worker's runs are overdue by it, so one that hardly progresses must not
	// count as slow without limit. Faults make workers 4 to 5 times slower.
	maxFactor = 8
	// A change of the speed by smallChange is reported each smallInterval at most, and one by largeChange
	// each largeInterval. Under load, the average over 16 runs varies by a tenth several times a second;
	// with reports of that, each gateway would handle as many reports as ends of runs.
	smallChange   = 0.1
	smallInterval = time.Second
	largeChange   = 0.3
	largeInterval = 100 * time.Millisecond
)

// Learner learns the speed of a worker: the ratio of the run times there to those that are expected
// on an average worker. It averages over the runs that have ended. A worker that becomes several
// times slower ends hardly any runs, so the progress of the running tasks is compared too, and their
// median replaces the average if the two differ much. It addresses cells with uneven workers, and
// workers that a fault slows. The zero value is ready for use and stands for an average worker. A
// Learner is not safe for concurrent use, and serves one incarnation of a worker.
type Learner struct {
	// excess is the moving average of the ratio of actual to expected run time, minus one.
	excess float64
	runs   int
	// ended holds the ratios of the runs that have ended within paceAge, oldest first.
	ended []pace
	// differsSince is since when the median of the paces differs from the average.
	differsSince time.Time
	// ratios is the buffer of Compare.
	ratios []float64
	// reported is the speed that was last reported, and reportedAt when.
	reported   float64
	reportedAt time.Time
}

// pace is the ratio of the time that a part of a task took to that expected for it.
type pace struct {
	at    time.Time
	ratio float64
}

// Pace measures the progress of one running task. The zero value is ready for use.
type Pace struct {
	percent int
	since   time.Time
	// last is the latest pace.
	last pace
}

// Speed returns the present speed.
func (l *Learner) Speed() Speed {
	return Speed{Factor: 1 + l.excess, Runs: l.runs}
}

// Ended adds a run that has succeeded. A run whose expected time is not known is left out.
func (l *Learner) Ended(now time.Time, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	l.runs = min(l.runs+1, speedRuns)
	l.excess += (min(ratio, maxRatio) - 1 - l.excess) / float64(min(l.runs+priorRuns, speedRuns))
	l.ended = append(l.ended, pace{now, ratio})
	l.expire(now)
}

// Progressed adds the progress of a running task that was started at a time. Tasks without progress
// say nothing of the speed: a worker that hangs is not a slow one.
func (p *Pace) Progressed(now, started time.Time, percent int, expected time.Duration) {
	if p.since.IsZero() {
		p.since = started
		if !now.After(started) {
			// The run was found to be running, and may have started earlier.
			p.percent = percent
		}
	}
	span, gained := now.Sub(p.since), percent-p.percent
	if expected <= 0 || span < paceInterval || gained < pacePercent {
		return
	}
	p.since, p.percent = now, percent
	p.last = pace{now, span.Seconds() * 100 / (float64(gained) * expected.Seconds())}
}

// Compare replaces the average by the median of the latest paces, of the runs that have ended and of
// the given running ones, once it has differed much for changeInterval. It is to be called when the
// progress of all running tasks is known.
func (l *Learner) Compare(now time.Time, running iter.Seq[*Pace]) {
	l.expire(now)
	l.ratios = l.ratios[:0]
	for _, p := range l.ended {
		l.ratios = append(l.ratios, p.ratio)
	}
	for p := range running {
		if p.last.ratio > 0 && now.Sub(p.last.at) < paceAge {
			l.ratios = append(l.ratios, p.last.ratio)
		}
	}
	if len(l.ratios) < minPaces {
		l.differsSince = time.Time{}
		return
	}
	slices.Sort(l.ratios)
	median, factor := min(l.ratios[len(l.ratios)/2], maxFactor), 1+l.excess
	switch {
	case median < changeFactor*factor && factor < changeFactor*median:
		l.differsSince = time.Time{}
	case l.differsSince.IsZero():
		l.differsSince = now
	case now.Sub(l.differsSince) >= changeInterval:
		l.excess, l.runs, l.differsSince = median-1, min(len(l.ratios), speedRuns), time.Time{}
	}
}

// Report reports whether the speed is to be reported now, and if so takes it as reported.
func (l *Learner) Report(now time.Time) bool {
	change := math.Abs(l.excess-l.reported) / (1 + l.reported)
	since := now.Sub(l.reportedAt)
	if l.runs == 0 || (change < smallChange || since < smallInterval) && (change < largeChange || since < largeInterval) {
		return false
	}
	l.reported, l.reportedAt = l.excess, now
	return true
}

// expire removes the ends that are older than paceAge, and those beyond maxEnded.
func (l *Learner) expire(now time.Time) {
	n := max(0, len(l.ended)-maxEnded)
	for n < len(l.ended) && now.Sub(l.ended[n].at) >= paceAge {
		n++
	}
	l.ended = slices.Delete(l.ended, 0, n)
}
