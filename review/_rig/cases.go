package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// applied_late of the small sites: orders get no answer for this long, and are carried out 2 to
// 12 s later.
const (
	lateWindow = 5500 * time.Millisecond
	minLate    = 2 * time.Second
	maxLate    = 12 * time.Second
)

// stopUnanswered submits jobs whose tasks run longer than their callers wait. When a caller's
// time is over, the gateway has the run stopped. With the disruption the worker leaves the orders to
// stop unanswered and carries them out late. The callers submit their jobs again at the next
// gateway.
func stopUnanswered(r *rig) (int, error) {
	if err := r.startAll(3, 11); err != nil {
		return 0, err
	}
	r.runBackground(50 * time.Millisecond)
	for round := range 3 {
		r.mu.Lock()
		ordersBefore, unansweredBefore := r.orders, r.unanswered
		r.mu.Unlock()
		begin := time.Now()
		for _, w := range r.workers {
			r.setLate(w, func(path string) time.Duration {
				if since := time.Since(begin); path != "/run-stop" || since > lateWindow {
					return 0
				}
				return minLate + time.Duration(rand.Int64N(int64(maxLate-minLate)))
			})
		}
		r.submitTwice(fmt.Sprintf("cc%06x%08x", round, 1), round)
		time.Sleep(lateWindow - time.Since(begin))
		r.mu.Lock()
		r.logf("round %d: %d of %d orders were left unanswered", round+1, r.unanswered-unansweredBefore, r.orders-ordersBefore)
		r.mu.Unlock()
		time.Sleep(time.Second)
	}
	return r.overlapCount(), nil
}

// setLate sets which orders a worker carries out late, if the disruption is on.
func (r *rig) setLate(w *worker, late func(path string) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trouble {
		w.late = late
	}
}

// submitTwice submits a job of one long task, and again resend_ms after a first answer that leaves
// its outcome open, at the next gateway.
func (r *rig) submitTwice(id string, round int) {
	for attempt := range 2 {
		g := r.gateways[(round+attempt)%len(r.gateways)]
		r.logf("caller sends job %s to %s", id, g.name)
		status, answer := r.submit(g.front, id, standin.SlowSpecPrefix+" "+id, 1, callerLimit)
		r.logf("caller gets %d for job %s: %.80s", status, id, answer)
		if !resendable(status) {
			return
		}
		if attempt == 0 {
			time.Sleep(resendDelay)
		}
	}
}

// foreignReport submits jobs with long tasks, and while each runs, another writer sends the sidecar of
// its worker a status report of a service that no manifest names.
func foreignReport(r *rig) (int, error) {
	if err := r.startAll(3, 11); err != nil {
		return 0, err
	}
	for round := range 3 {
		id := fmt.Sprintf("dd%06x%08x", round, 1)
		g := r.gateways[round]
		answered := make(chan struct{})
		r.logf("caller sends job %s to %s", id, g.name)
		go func() {
			defer close(answered)
			status, answer := r.submit(g.front, id, standin.SlowSpecPrefix+" "+id, 1, longLimit)
			r.logf("caller gets %d for job %s: %.80s", status, id, answer)
		}()
		time.Sleep(time.Second)
		w := r.workerOf(id + ".0.0.0")
		if w == nil {
			return 0, fmt.Errorf("the task of job %s does not run", id)
		}
		if r.trouble {
			if err := r.sendForeignReport(w); err != nil {
				return 0, err
			}
		}
		<-answered
	}
	return r.overlapCount(), nil
}

// longLimit is a time limit within which a long task can end.
const longLimit = 8 * time.Second

// workerOf returns the worker that runs a task, or nil.
func (r *rig) workerOf(task string) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		for _, run := range r.running[task] {
			if run.worker == w.id {
				return w
			}
		}
	}
	return nil
}

// sendForeignReport sends a report with a service that is not in the manifest to the sidecar of a
// worker.
func (r *rig) sendForeignReport(w *worker) error {
	now := time.Now().UnixMilli()
	body := fmt.Sprintf(`{"service":"not-in-the-manifest","addr":"127.0.0.1:9","zone":%q,"version":"v1","slots":8,"state":"ready","cold_ms":0,"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a"],"clock_ms":1000,"born":%d,"seq":1}`, standin.Zone, workerCPU, now-1000)
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPut, "http://"+w.control.String()+"/instances/i-foreign", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	r.logf("another writer sends the sidecar of %s the report %s: status %d", w.id, body, resp.StatusCode)
	return nil
}

const (
	// drainTime is drain_ms of the small sites and a little more: how long a worker goes on serving
	// after its status report that it drains was acknowledged.
	drainTime = 2200 * time.Millisecond
	// stopTime is stop_ms of the small sites: how long the end of what runs on a worker may take.
	stopTime = 50 * time.Millisecond
)

// leavingWorker submits jobs with long tasks, and while each runs, its worker is emptied and taken
// away: it reports that it drains, serves on for drainTime, deregisters, and ends with all that runs
// on it.
func leavingWorker(r *rig) (int, error) {
	if err := r.startAll(3, 11); err != nil {
		return 0, err
	}
	for round := range 3 {
		id := fmt.Sprintf("ff%06x%08x", round, 1)
		g := r.gateways[round]
		answered := make(chan struct{})
		r.logf("caller sends job %s to %s", id, g.name)
		go func() {
			defer close(answered)
			status, answer := r.submit(g.front, id, standin.SlowSpecPrefix+" "+id, 1, longLimit)
			r.logf("caller gets %d for job %s: %.80s", status, id, answer)
		}()
		time.Sleep(time.Second)
		w := r.workerOf(id + ".0.0.0")
		if w == nil {
			return 0, fmt.Errorf("the task of job %s does not run", id)
		}
		if r.trouble {
			if err := r.takeAway(w); err != nil {
				return 0, err
			}
		}
		<-answered
	}
	return r.overlapCount(), nil
}

// takeAway empties a worker and takes it away, as a scale-in does.
func (r *rig) takeAway(w *worker) error {
	r.mu.Lock()
	w.draining = true
	r.mu.Unlock()
	r.logf("%s reports from now on that it drains", w.id)
	time.Sleep(reportInterval + drainTime)
	r.mu.Lock()
	w.left = true
	r.mu.Unlock()
	status, err := r.callControl(w, http.MethodDelete, nil)
	if err != nil {
		return err
	}
	r.logf("%s has deregistered: status %d", w.id, status)
	time.Sleep(stopTime)
	w.end()
	return nil
}

// reportInterval is longer than the time between two status reports of a worker.
const reportInterval = 400 * time.Millisecond
