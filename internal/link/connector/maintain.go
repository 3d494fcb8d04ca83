package connector

import (
	"context"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// firstRedialPause is the pause before a link is dialled again. It doubles after each
// failure, up to the maximum that the caller sets.
const firstRedialPause = 50 * time.Millisecond

// MaintainLinks runs one task for each peer of the latest list received on wanted, until
// ctx ends. The task of a peer that is no longer listed, or has a new address, is
// cancelled. A task calls session repeatedly; session dials the peer, runs the link, and
// reports whether the link was established. The pause between two calls doubles up to
// maxPause, and starts again at firstRedialPause once a link was established.
// MaintainLinks returns when all tasks have ended.
func MaintainLinks(ctx context.Context, wanted <-chan []registrar.Peer, maxPause time.Duration, session func(context.Context, registrar.Peer) bool) {
	maintain := func(ctx context.Context, p registrar.Peer) { maintainLink(ctx, p, maxPause, session) }
	tasks := make(map[registrar.Peer]context.CancelFunc)
	ended := make(chan struct{})
	running := 0
	for {
		select {
		case peers := <-wanted:
			running += updateTasks(ctx, tasks, peers, maintain, ended)
		case <-ended:
			running--
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			return
		}
	}
}

// updateTasks starts tasks for new peers, cancels those of peers that are no longer
// listed, and returns the number of tasks started.
func updateTasks(ctx context.Context, tasks map[registrar.Peer]context.CancelFunc, peers []registrar.Peer, maintain func(context.Context, registrar.Peer), ended chan<- struct{}) int {
	listed := make(map[registrar.Peer]bool)
	started := 0
	for _, p := range peers {
		listed[p] = true
		if tasks[p] != nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		tasks[p] = cancel
		started++
		go func() {
			maintain(taskCtx, p)
			ended <- struct{}{}
		}()
	}
	for p, cancel := range tasks {
		if !listed[p] {
			cancel()
			delete(tasks, p)
		}
	}
	return started
}

// maintainLink calls session for one peer until ctx ends, with a pause after each call.
func maintainLink(ctx context.Context, p registrar.Peer, maxPause time.Duration, session func(context.Context, registrar.Peer) bool) {
	pause := firstRedialPause
	for ctx.Err() == nil {
		if session(ctx, p) {
			pause = firstRedialPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause = min(2*pause, maxPause)
	}
}

// Without returns peers without the entry of the given name.
func Without(peers []registrar.Peer, name identifier.Entry) []registrar.Peer {
	var others []registrar.Peer
	for _, p := range peers {
		if p.Entry != name {
			others = append(others, p)
		}
	}
	return others
}
