// Package drainer implements the life cycle of a process that stops gracefully: it
// starts, serves, drains the work in flight, and stops.
package drainer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// Stage is a stage of the life cycle.
type Stage string

// The stages of the life cycle, in order.
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

// Lifecycle is the state machine of one process. It is safe for concurrent use.
type Lifecycle struct {
	machine *stateless.StateMachine
}

// New returns a life cycle in the stage Starting. It calls onEnter with each stage that
// is entered after that.
func New(onEnter func(Stage)) *Lifecycle {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(ready, Serving).Permit(drain, Draining)
	m.Configure(Serving).Permit(drain, Draining).Ignore(ready)
	m.Configure(Draining).Permit(drained, Stopped).Ignore(drain).Ignore(ready)
	m.Configure(Stopped).Ignore(drained).Ignore(drain).Ignore(ready)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		onEnter(t.Destination.(Stage))
	})
	return &Lifecycle{m}
}

// Ready moves from Starting to Serving. It has no effect in a later stage.
func (l *Lifecycle) Ready() error {
	return errors.Wrap(l.machine.Fire(ready), "enter the stage serving")
}

// Drain moves to Draining, in which the process takes no new work. It has no effect in a
// later stage.
func (l *Lifecycle) Drain() error {
	return errors.Wrap(l.machine.Fire(drain), "enter the stage draining")
}

// Drained moves from Draining to Stopped, once nothing is in flight. It fails before
// Drain was called.
func (l *Lifecycle) Drained() error {
	return errors.Wrap(l.machine.Fire(drained), "enter the stage stopped")
}

// Stage returns the current stage.
func (l *Lifecycle) Stage() Stage {
	return l.machine.MustState().(Stage)
}
