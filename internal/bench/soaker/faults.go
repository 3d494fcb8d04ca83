package soaker

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// slowPathDelay is the delay of a slow path, each way and for each piece. It is well under the
// time-outs of calls, and several in a row are not.
const slowPathDelay = 20 * time.Millisecond

// apply carries a fault out and returns when it is over.
func (s *soak) apply(ctx context.Context, f Fault) {
	switch f.Kind {
	case Kill:
		s.processes[f.Target].restart(ctx, syscall.SIGKILL, f.Duration)
	case Terminate:
		s.terminate(ctx, s.processes[f.Target], f.Duration)
	case Pause:
		s.processes[f.Target].pause(ctx, f.Duration)
	case Reload:
		s.processes[f.Target].signal(syscall.SIGHUP)
	case Delay, Reset, Silence, CutOneWay:
		s.impair(ctx, f)
	case StoreBusy:
		s.failStore(ctx, http.StatusTooManyRequests, f.Duration)
	case StoreDown:
		s.failStore(ctx, http.StatusServiceUnavailable, f.Duration)
	case StoreCompaction:
		s.store.Compact()
	case NewManifest:
		s.putManifest()
	case WorkerCrash:
		s.crash(ctx, f)
	case WorkerHang:
		w := s.workers[f.Target].instance()
		w.Hang(true)
		sleep(ctx, f.Duration)
		w.Hang(false)
	case FenceAhead:
		// The same as a sidecar that starts again after its clock was set back.
		sidecar := s.processes[sidecarOf(f.Target)]
		sidecar.signal(syscall.SIGKILL)
		s.workers[f.Target].instance().RaiseFence(uint64(f.Duration.Milliseconds()) * 10)
		sidecar.restart(ctx, syscall.SIGKILL, f.Duration)
	}
}

// sidecarOf returns the name of the sidecar beside a worker.
func sidecarOf(worker string) string {
	return strings.Replace(worker, "worker", "sidecar", 1)
}

// impair harms the connections of a path for a time.
func (s *soak) impair(ctx context.Context, f Fault) {
	path := s.forwarders[f.Target]
	h := impairment{everyNth: f.EveryNth}
	switch f.Kind {
	case Reset:
		path.reset(h)
		return
	case Delay:
		h.delay = slowPathDelay
	case Silence:
		h.holdToTarget, h.holdFromTarget = true, true
	case CutOneWay:
		h.holdToTarget, h.holdFromTarget = f.ToTarget, !f.ToTarget
	}
	path.setImpairment(h)
	sleep(ctx, f.Duration)
	path.setImpairment(impairment{})
}

func (s *soak) failStore(ctx context.Context, status int, d time.Duration) {
	s.store.Fail(status)
	sleep(ctx, d)
	s.store.Fail(0)
}

// crash ends a worker and all that it runs, and starts it again after a time. What is under
// way to it is lost.
func (s *soak) crash(ctx context.Context, f Fault) {
	w := s.workers[f.Target]
	w.stop()
	s.forwarders["orders_of_"+sidecarOf(f.Target)].resetAll()
	sleep(ctx, f.Duration)
	if ctx.Err() != nil {
		return
	}
	if err := w.start(s.ctx); err != nil {
		s.addBreach(SoakFailure, "worker %s does not start again: %s", f.Target, err)
	}
}

// terminate asks a process to leave, and demands that it ends well within its grace.
func (s *soak) terminate(ctx context.Context, p *process, d time.Duration) {
	before, began, speaks := p.totalPause(), time.Now(), p.hasLogged()
	p.signal(syscall.SIGTERM)
	ended, err := p.awaitEnd(ctx, grace+graceMargin+seriesLength*longestFault)
	took := time.Since(began) - (p.totalPause() - before)
	switch {
	case ctx.Err() != nil:
		return
	case !ended || took > grace+graceMargin:
		s.addBreach(ProcessEnd, "%s has not ended %s after SIGTERM, with a grace of %s", p.name, took, grace)
	case err != nil && speaks && !strings.Contains(err.Error(), "killed"):
		s.addBreach(ProcessEnd, "%s ended after SIGTERM with %s", p.name, err)
	}
	sleep(ctx, d)
	p.startIfEnded(ctx)
}

// watchProcesses looks for processes that end by themselves, until ctx ends.
func (s *soak) watchProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range s.processes {
			if surprise, err := p.endedUnexpectedly(); surprise {
				s.addBreach(ProcessEnd, "%s ended by itself with %v; see its log", p.name, err)
				p.startIfEnded(ctx)
			}
		}
		sleep(ctx, watchInterval)
	}
}

// watchInterval is the time between two looks at processes and at manifests.
const watchInterval = 100 * time.Millisecond
