// Package drainer is the life cycle of a process that must not be cut off: it
// starts, serves, drains what is in flight, and stops.
package drainer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// Stage is where a process is in its life.
type Stage string

// The stages, in their order.
const (
	Starting Stage = "starting"
	Serving  Stage = "serving"
	Draining Stage = "draining"
	Stopped  Stage = "stopped"
)

type trigger string

const (
	ready   trigger = "ready"
	drain   trigger = "drain"
	drained trigger = "drained"
)

// Lifecycle is the life cycle of one process. It is safe for use by several
// goroutines at once.
type Lifecycle struct {
	machine *stateless.StateMachine
}

// New returns a life cycle that is starting. It calls entered at each later
// stage.
func New(entered func(Stage)) *Lifecycle {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(ready, Serving).Permit(drain, Draining)
	m.Configure(Serving).Permit(drain, Draining).Ignore(ready)
	m.Configure(Draining).Permit(drained, Stopped).Ignore(drain).Ignore(ready)
	m.Configure(Stopped).Ignore(drained).Ignore(drain).Ignore(ready)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		entered(t.Destination.(Stage))
	})
	return &Lifecycle{m}
}

// Ready says that the process can serve.
func (d *Lifecycle) Ready() error {
	return errors.Wrap(d.machine.Fire(ready), "begin to serve")
}

// Drain says that the process is to take no more work.
func (d *Lifecycle) Drain() error {
	return errors.Wrap(d.machine.Fire(drain), "begin to drain")
}

// Drained says that nothing is in flight any more.
func (d *Lifecycle) Drained() error {
	return errors.Wrap(d.machine.Fire(drained), "stop")
}

// Stage returns the present stage.
func (d *Lifecycle) Stage() Stage {
	return d.machine.MustState().(Stage)
}
