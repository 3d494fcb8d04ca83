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

// MaintainLinks runs one goroutine for each peer of the latest list received on wanted,
// until ctx ends. The goroutine of a peer that is no longer listed, or has a new address,
// is cancelled. A goroutine calls session repeatedly; session dials the peer, runs the
// link, and reports whether the link was established. The pause between two calls doubles
// up to maxPause, and starts again at firstRedialPause once a link was established.
// MaintainLinks returns when all goroutines have ended.
func MaintainLinks(ctx context.Context, wanted <-chan []registrar.Peer, maxPause time.Duration, session func(context.Context, registrar.Peer) bool) {
	maintain := func(ctx context.Context, p registrar.Peer) { maintainLink(ctx, p, maxPause, session) }
	cancels := make(map[registrar.Peer]context.CancelFunc)
	ended := make(chan struct{})
	running := 0
	for {
		select {
		case peers := <-wanted:
			running += updateLinks(ctx, cancels, peers, maintain, ended)
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

// updateLinks starts goroutines for new peers, cancels those of peers that are no longer
// listed, and returns the number of goroutines started.
func updateLinks(ctx context.Context, cancels map[registrar.Peer]context.CancelFunc, peers []registrar.Peer, maintain func(context.Context, registrar.Peer), ended chan<- struct{}) int {
	listed := make(map[registrar.Peer]bool)
	started := 0
	for _, p := range peers {
		listed[p] = true
		if cancels[p] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		cancels[p] = cancel
		started++
		go func() {
			maintain(peerCtx, p)
			ended <- struct{}{}
		}()
	}
	for p, cancel := range cancels {
		if !listed[p] {
			cancel()
			delete(cancels, p)
		}
	}
	return started
}

// maintainLink calls session for one peer until ctx ends, with a pause after each call. The time that
// an attempt without an answer has taken counts as a part of the pause.
func maintainLink(ctx context.Context, p registrar.Peer, maxPause time.Duration, session func(context.Context, registrar.Peer) bool) {
	pause := firstRedialPause
	for ctx.Err() == nil {
		timer := time.NewTimer(pause)
		if session(ctx, p) {
			pause = firstRedialPause
			timer.Reset(pause)
		}
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
