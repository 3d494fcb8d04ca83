package soaker

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// slowPath is the delay of a slow path, each way and for each piece. It is well under the
// time-outs of calls, and several in a row are not.
const slowPath = 20 * time.Millisecond

// carryOut carries a fault out and returns when it is over.
func (s *soak) carryOut(ctx context.Context, f Fault) {
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
		s.harm(ctx, f)
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
		w := s.workers[f.Target].life()
		w.Hang(true)
		sleep(ctx, f.Duration)
		w.Hang(false)
	case FenceAhead:
		// The same as a sidecar that starts again after its clock was set back.
		sidecar := s.processes[sidecarOf(f.Target)]
		sidecar.signal(syscall.SIGKILL)
		s.workers[f.Target].life().RaiseFence(uint64(f.Duration.Milliseconds()) * 10)
		sidecar.restart(ctx, syscall.SIGKILL, f.Duration)
	}
}

// sidecarOf returns the name of the sidecar beside a worker.
func sidecarOf(worker string) string {
	return strings.Replace(worker, "worker", "sidecar", 1)
}

// harm harms the connections of a path for a time.
func (s *soak) harm(ctx context.Context, f Fault) {
	path := s.forwarders[f.Target]
	h := harm{every: f.EveryNth}
	switch f.Kind {
	case Reset:
		path.reset(h)
		return
	case Delay:
		h.delay = slowPath
	case Silence:
		h.holdTo, h.holdBack = true, true
	case CutOneWay:
		h.holdTo, h.holdBack = f.ToTarget, !f.ToTarget
	}
	path.set(h)
	sleep(ctx, f.Duration)
	path.set(harm{})
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
	w.end()
	s.forwarders["orders_of_"+sidecarOf(f.Target)].resetAll()
	sleep(ctx, f.Duration)
	if ctx.Err() != nil {
		return
	}
	if err := w.begin(s.base); err != nil {
		s.note(SoakFailure, "worker %s does not start again: %s", f.Target, err)
	}
}

// terminate asks a process to leave, and demands that it ends well within its grace.
func (s *soak) terminate(ctx context.Context, p *process, d time.Duration) {
	before, began, speaks := p.stopped(), time.Now(), p.speaks()
	p.signal(syscall.SIGTERM)
	ended, err := p.awaitEnd(ctx, grace+graceMargin+seriesLength*longestFault)
	took := time.Since(began) - (p.stopped() - before)
	switch {
	case ctx.Err() != nil:
		return
	case !ended || took > grace+graceMargin:
		s.note(ProcessEnd, "%s has not ended %s after SIGTERM, with a grace of %s", p.name, took, grace)
	case err != nil && speaks && !strings.Contains(err.Error(), "killed"):
		s.note(ProcessEnd, "%s ended after SIGTERM with %s", p.name, err)
	}
	sleep(ctx, d)
	p.revive(ctx)
}

// watchProcesses looks for processes that end by themselves, until ctx ends.
func (s *soak) watchProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range s.processes {
			if surprise, err := p.surprise(); surprise {
				s.note(ProcessEnd, "%s ended by itself with %v; see its log", p.name, err)
				p.revive(ctx)
			}
		}
		sleep(ctx, watchPause)
	}
}

// watchPause is the time between two looks at processes and at manifests.
const watchPause = 100 * time.Millisecond
