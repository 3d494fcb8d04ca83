// Package forecaster predicts how long work waits under peak load, when more arrives than can
// be served. It does no I/O and reads no clock.
package forecaster

import "time"

const (
	// period is how far back the rate of work is observed, in intervals of interval.
	period   = 2 * time.Second
	interval = 100 * time.Millisecond
	// minBacklogged is the time with a backlog within period from which the rate is known.
	// Without a backlog, work is started at the rate at which it arrives, which says nothing
	// about the capacity.
	minBacklogged = time.Second
	// minStarts is the number of starts in that time from which the rate is known. While a few
	// long tasks take all capacity, hardly anything is started, and much more when they end.
	minStarts = 16
)

// Forecaster observes the rate at which work is started while other work waits. Work is
// measured in CPU time. The zero value is ready for use. A Forecaster is not safe for
// concurrent use.
type Forecaster struct {
	// observations is a ring of the last intervals, and last is the number of the newest one
	// since the Unix epoch.
	observations [period / interval]observation
	last         int64
	// backlogged is set while work waits, and observedAt is until when that is accounted for.
	backlogged bool
	observedAt time.Time
}

// observation is what happened in one interval.
type observation struct {
	// started is the work started during backlogged, the time in which other work waited, and
	// starts counts it.
	started, backlogged time.Duration
	starts              int
}

// Started records that work was started.
func (f *Forecaster) Started(now time.Time, work time.Duration) {
	o := f.current(now)
	if f.backlogged {
		o.started += work
		o.starts++
	}
}

// SetBacklogged records whether work waits from now on. It must be called periodically.
func (f *Forecaster) SetBacklogged(now time.Time, backlogged bool) {
	o := f.current(now)
	if f.backlogged && now.After(f.observedAt) {
		o.backlogged += min(now.Sub(f.observedAt), interval)
	}
	f.backlogged, f.observedAt = backlogged, now
}

// Wait returns how long it takes until an amount of work has been started, if all of it goes
// first from now on. It is a lower bound, since more urgent work may still arrive. It returns
// false if the rate is not known.
func (f *Forecaster) Wait(now time.Time, work time.Duration) (wait time.Duration, known bool) {
	rate, known := f.Rate(now)
	if !known {
		return 0, false
	}
	return time.Duration(work.Seconds() / rate.Seconds() * float64(time.Second)), true
}

// Rate returns the CPU time of the work that is started in each second while other work waits. It
// returns false if that is not known.
func (f *Forecaster) Rate(now time.Time) (rate time.Duration, known bool) {
	f.current(now)
	var sum observation
	for _, o := range f.observations {
		sum.started += o.started
		sum.starts += o.starts
		sum.backlogged += o.backlogged
	}
	if sum.backlogged < minBacklogged || sum.starts < minStarts || sum.started <= 0 {
		return 0, false
	}
	return time.Duration(sum.started.Seconds() / sum.backlogged.Seconds() * float64(time.Second)), true
}

// current returns the observation of the present interval, and clears those that are outdated.
func (f *Forecaster) current(now time.Time) *observation {
	n := now.UnixNano() / int64(interval)
	size := int64(len(f.observations))
	for i := max(f.last+1, n-size+1); i <= n; i++ {
		f.observations[i%size] = observation{}
	}
	f.last = max(f.last, n)
	return &f.observations[f.last%size]
}
