package runner

import (
	"context"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// drain takes no more work, and waits for what runs and until every entry has sent
// its last start: each of those gets an answer, so that none is left in doubt.
func (r *Runner) drain() {
	if err := r.life.Drain(); err != nil {
		r.log.Error("life_cycle", logger.Error(err))
	}
	r.mu.Lock()
	r.starter.Drain()
	r.offerer.Drain()
	for _, entry := range r.offerer.Linked() {
		r.send(entry, &allocator.Leave{Incarnation: r.starter.Incarnation})
	}
	r.mu.Unlock()
	for !r.quiet() {
		select {
		case e := <-r.ended:
			r.end(e)
		case <-r.changed:
		}
	}
}

// quiet reports whether nothing runs and nothing can come any more.
func (r *Runner) quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.links {
		if !r.released[entry] {
			return false
		}
	}
	return r.starter.Running() == 0
}

// sayBye passes the records to every entry, tells them that nothing more will come,
// and waits until they have closed their links.
func (r *Runner) sayBye(linked <-chan struct{}, stop context.CancelFunc) {
	if err := r.life.Drained(); err != nil {
		r.log.Error("life_cycle", logger.Error(err))
	}
	r.mu.Lock()
	finalReport := r.starter.FinalReports()
	for _, entry := range r.offerer.Linked() {
		sendParts(r, entry, finalReport)
		r.send(entry, &registrar.Bye{})
	}
	r.mu.Unlock()
	limit := time.NewTimer(byeWait)
	defer limit.Stop()
	for r.linkCount() > 0 {
		select {
		case <-r.changed:
			continue
		case <-limit.C:
		}
		break
	}
	stop()
	<-linked
}
