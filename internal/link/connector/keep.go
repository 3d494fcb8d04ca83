package connector

import (
	"context"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// firstRedialPause is the pause before a link is dialled anew; it doubles up to that of the
// caller.
const firstRedialPause = 50 * time.Millisecond

// MaintainLinks runs a task for each entry of the newest list on wanted, until ctx ends.
// An entry that is no longer listed, or has another address, loses its task. The
// task calls session again and again; session dials, runs the link, and returns
// whether the link ever was up. Between two calls it waits for at most lastPause.
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

// updateTasks begins and ends tasks and returns how many have begun.
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

// Without returns the peers other than the named one.
func Without(peers []registrar.Peer, name identifier.Entry) []registrar.Peer {
	var others []registrar.Peer
	for _, p := range peers {
		if p.Entry != name {
			others = append(others, p)
		}
	}
	return others
}
