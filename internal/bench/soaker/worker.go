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
	slowness      float64
	observer      standin.Observer

	mu      sync.Mutex
	lives   int
	present *standin.Worker
	stop    context.CancelFunc
	// ended brings the end of the present life.
	ended chan error
}

// begin starts a life if there is none. Every other one keeps the identity of the life
// before.
func (w *worker) begin(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		return nil
	}
	ln, err := listener.Listen(w.addr)
	if err != nil {
		return err
	}
	w.present = &standin.Worker{
		ID: fmt.Sprintf("%s-%d", w.name, w.lives/2), Service: standin.Service, Zone: standin.Zone, Addr: w.addr, Control: w.control,
		CPU: workerCPU, RunTime: w.runTime, Slowness: w.slowness, Observer: w.observer,
	}
	w.lives++
	ctx, w.stop = context.WithCancel(ctx)
	life, ended := w.present, make(chan error, 1)
	w.ended = ended
	go func() { ended <- life.Run(ctx, ln) }()
	return nil
}

// end ends the present life and all that it runs, if there is one.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop == nil {
		return
	}
	w.stop()
	<-w.ended
	w.stop = nil
}

// life returns the present or the last life.
func (w *worker) life() *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.present
}

// witness tells a ledger what workers do, as it happens.
type witness struct {
	ledger *Checker
}

// Began tells of a start.
func (w witness) Began(worker, task string, number uint64, spec string) {
	w.ledger.RunStarted(time.Now(), worker, task, number, spec)
}

// Ended tells of an end.
func (w witness) Ended(worker, task string, number uint64, how string) {
	w.ledger.RunEnded(worker, task, number, how)
}
