package executor

import "time"

const (
	// pastRetention is how long it is remembered that a run was taken as over. An order without an
	// answer may be carried out seconds later.
	pastRetention = 10 * time.Second
	// maxPastRuns limits the runs that are remembered.
	maxPastRuns = 4096
)

// pastRun is a run that was taken as over.
type pastRun struct {
	run RunID
	// worker is the incarnation of the worker that the run was meant for.
	worker   WorkerIncarnation
	evidence Evidence
	at       time.Time
	// listed is set once a later hold has listed the run as running.
	listed bool
}

// pastRuns holds the runs that were taken as over in the last pastRetention.
type pastRuns struct {
	byRun map[RunID]*pastRun
	// order holds the same runs, oldest first.
	order []*pastRun
}

// add records a run that is taken as over.
func (p *pastRuns) add(past *pastRun) {
	p.expire(past.at)
	if p.byRun == nil {
		p.byRun = make(map[RunID]*pastRun)
	}
	p.byRun[past.run] = past
	p.order = append(p.order, past)
}

// find returns the record of a run, or nil if there is none.
func (p *pastRuns) find(now time.Time, run RunID) *pastRun {
	p.expire(now)
	return p.byRun[run]
}

// expire removes the runs that were taken as over pastRetention ago, and the oldest beyond
// maxPastRuns.
func (p *pastRuns) expire(now time.Time) {
	for len(p.order) > 0 && (len(p.order) >= maxPastRuns || now.Sub(p.order[0].at) >= pastRetention) {
		if oldest := p.order[0]; p.byRun[oldest.run] == oldest {
			delete(p.byRun, oldest.run)
		}
		p.order = p.order[1:]
	}
}

// checkListed reports a run that a hold reply lists as running although it was taken as over before
// the hold was sent, or although it was never known here. Each such run is reported once.
func (x *Executor) checkListed(now time.Time, h Hold, run RunID) []Effect {
	past := x.past.find(now, run)
	if past == nil {
		x.past.add(&pastRun{run: run, worker: h.Worker, at: now, listed: true})
		return []Effect{UnknownRunListed{Worker: h.Worker, Run: run}}
	}
	if past.listed || past.evidence.Ground == ListedEnd || !h.Sent.After(past.at) {
		return nil
	}
	past.listed = true
	return []Effect{EndedRunListed{Worker: h.Worker, Run: run, Evidence: past.evidence, Ago: now.Sub(past.at), SameIncarnation: past.worker.Equal(h.Worker)}}
}

// startedAfterAll reports whether an end that the worker lists contradicts the ground on which the run
// was taken as over: that it has not started, or that it has ended already.
func (g Ground) startedAfterAll() bool {
	switch g {
	case NotListed, NotListedAfterStop, EarlierIncarnation, StartDeclined, StartFenced, StartUndelivered, RefusedOnArrival, StopUnknown:
		return true
	}
	return false
}

// checkEndListed reports a run whose end the worker lists although it was taken as not started, or as
// over without an end, before. It was running for a while after that.
func (x *Executor) checkEndListed(now time.Time, end EndedRun) []Effect {
	past, w := x.past.find(now, end.Run), x.worker.WorkerIncarnation
	if past == nil || past.listed || !past.evidence.Ground.startedAfterAll() {
		return nil
	}
	past.listed = true
	return []Effect{EndedRunListed{Worker: w, Run: end.Run, Outcome: end.Outcome, Evidence: past.evidence, Ago: now.Sub(past.at), SameIncarnation: past.worker.Equal(w)}}
}
