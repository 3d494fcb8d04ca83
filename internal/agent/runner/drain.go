package runner

import (
	"context"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// drain stops accepting tasks. It waits until all running tasks have ended and every
// linked entry has sent its last start. Each of those starts gets a reply, so that no
// entry has to find out whether the task was started.
func (r *Runner) drain() {
	if err := r.lifecycle.Drain(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	r.starter.Drain()
	r.allocator.Drain()
	for _, entry := range r.allocator.Linked() {
		r.send(entry, &allocator.Leave{Incarnation: r.starter.Incarnation})
	}
	r.mu.Unlock()
	for !r.drained() {
		select {
		case call := <-r.callResults:
			r.handleCallResult(call)
		case <-r.linkChanged:
		}
	}
}

// drained reports whether no task runs and no entry can send another start.
func (r *Runner) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.links {
		if !r.leaveAcked[entry] {
			return false
		}
	}
	return r.starter.Running() == 0
}

// closeLinks sends the final report and a Bye to every entry, and waits until the
// entries have closed their links or byeTimeout is over. It then calls stop, which ends
// all links, and waits for linksClosed.
func (r *Runner) closeLinks(linksClosed <-chan struct{}, stop context.CancelFunc) {
	if err := r.lifecycle.Drained(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	reports := r.starter.FinalReports()
	for _, entry := range r.allocator.Linked() {
		sendParts(r, entry, reports)
		r.send(entry, &registrar.Bye{})
	}
	r.mu.Unlock()
	timeout := time.NewTimer(byeTimeout)
	defer timeout.Stop()
	for r.linkCount() > 0 {
		select {
		case <-r.linkChanged:
			continue
		case <-timeout.C:
		}
		break
	}
	stop()
	<-linksClosed
}
