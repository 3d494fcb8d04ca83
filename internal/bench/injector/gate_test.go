package prover

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// gate is what a process passes whenever it touches the world outside. A frozen
// process waits there until it is thawed, a dead one never passes.
type gate struct {
	mu     sync.Mutex
	frozen bool
	killed bool
	// changed is closed and made anew at each change.
	changed chan struct{}
}

var errKilled = errors.New("the process is dead")

func newGate() *gate { return &gate{changed: make(chan struct{})} }

func (g *gate) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) freeze() { g.set(func() { g.frozen = true }) }
func (g *gate) resume() { g.set(func() { g.frozen = false }) }
func (g *gate) kill()   { g.set(func() { g.killed = true }) }

func (g *gate) isKilled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// pass returns when the process may go on.
func (g *gate) pass(ctx context.Context) error {
	for {
		g.mu.Lock()
		frozen, killed, changed := g.frozen, g.killed, g.changed
		g.mu.Unlock()
		if killed {
			return errKilled
		}
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
