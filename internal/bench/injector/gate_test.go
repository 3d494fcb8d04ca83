package injector

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// gate controls the input and output of a process. Every access to the network, the table
// service or a backend server goes through it. It blocks while the process is frozen and
// fails once the process has been killed.
type gate struct {
	mu     sync.Mutex
	frozen bool
	killed bool
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

var errKilled = errors.New("the process was killed")

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// update applies f and wakes the calls that wait in pass.
func (g *gate) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) freeze() { g.update(func() { g.frozen = true }) }
func (g *gate) resume() { g.update(func() { g.frozen = false }) }
func (g *gate) kill()   { g.update(func() { g.killed = true }) }

func (g *gate) isKilled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// pass blocks while the process is frozen. It returns errKilled if the process has been
// killed, or the error of ctx when that ends first.
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
