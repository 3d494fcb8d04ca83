package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// worker is a stand-in of a worker that can crash and start again.
type worker struct {
	name          string
	addr, control netip.AddrPort
	runTime       time.Duration
	clockSlowdown      float64
	observer      standin.Observer

	mu      sync.Mutex
	starts   int
	current *standin.Worker
	cancel    context.CancelFunc
	// ended brings the end of the present life.
	ended chan error
}

// start starts a life if there is none. Every other one keeps the identity of the life
// before.
func (w *worker) start(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		return nil
	}
	ln, err := listener.Listen(w.addr)
	if err != nil {
		return err
	}
	w.current = &standin.Worker{
		ID: fmt.Sprintf("%s-%d", w.name, w.starts/2), Service: standin.Service, Zone: standin.Zone, Addr: w.addr, Control: w.control,
		CPU: workerCPU, RunTime: w.runTime, Slowness: w.clockSlowdown, Observer: w.observer,
	}
	w.starts++
	ctx, w.cancel = context.WithCancel(ctx)
	life, ended := w.current, make(chan error, 1)
	w.ended = ended
	go func() { ended <- life.Run(ctx, ln) }()
	return nil
}

// stop ends the present life and all that it runs, if there is one.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.ended
	w.cancel = nil
}

// instance returns the present or the last instance.
func (w *worker) instance() *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// runObserver tells a ledger what workers do, as it happens.
type runObserver struct {
	checker *Checker
}

// Began tells of a start.
func (w runObserver) Began(worker, task string, number uint64, spec string) {
	w.checker.RunStarted(time.Now(), worker, task, number, spec)
}

// Ended tells of an end.
func (w runObserver) Ended(worker, task string, number uint64, how string) {
	w.checker.RunEnded(worker, task, number, how)
}
