package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// dispatch sends waiting tasks while slots are idle and the lease lasts, and notifies
// agents if tasks remain.
func (o *Owner) dispatch(now time.Time) {
	if !now.Before(o.leaseEnd) {
		return
	}
	first := len(o.effects)
	for o.ready() > 0 && o.pool.IdleSlots() > 0 {
		item, _ := o.queue.Pop(o.allowsNormal())
		j, ok := o.find(item.Task.Submission)
		if !ok || j.ended || j.tasks[item.Task.Index].state != taskWaiting {
			continue
		}
		a := o.pool.TakeSlot(now)
		if a == nil {
			o.queue.PushFront(item)
			break
		}
		o.start(now, j, item.Task, a)
	}
	o.setWaiting(o.effects[first:])
	if o.ready() > 0 {
		o.notifyAgents()
	}
}

// ready returns the number of waiting tasks that may start once slots are available.
func (o *Owner) ready() int {
	return o.queue.Ready(o.allowsNormal())
}

// allowsNormal reports whether another non-urgent task may start. Non-urgent tasks
// are limited to a share of the slots, because they may run long and urgent tasks
// that arrive in the meantime must find a slot.
func (o *Owner) allowsNormal() bool {
	return o.sentNormal < o.normalSlots()
}

// normalSlots returns the number of slots that non-urgent tasks may use, at least one.
func (o *Owner) normalSlots() int {
	return max(int(o.settings.NormalShare*float64(o.pool.Slots())), 1)
}

// setWaiting sets in each start the number of tasks that still wait after all of the
// starts. An intermediate count would make agents free slots for tasks that other
// agents have already received.
func (o *Owner) setWaiting(effects []Effect) {
	for _, e := range effects {
		s, ok := e.(Send)
		if !ok {
			continue
		}
		if m, ok := s.Message.(*starter.Start); ok {
			m.Waiting = o.ready()
			o.pool.Agent(s.Agent).Notified = m.Waiting > 0
		}
	}
}

func (o *Owner) start(now time.Time, j *job, id identifier.Task, a *dispatcher.LinkedAgent) {
	t := &j.tasks[id.Index]
	t.state = taskSent
	t.agent, t.incarnation = a.Agent, a.Incarnation
	p := j.Submission.Partition(o.settings.Partitions)
	t.epoch = o.partitions[p].epoch
	t.attempt++
	t.sentAt = now
	o.markSent(a.Agent, id, j.Urgent)
	o.Counters.Starts++
	o.send(a.Agent, &starter.Start{
		Incarnation: a.Incarnation,
		Partition:   p,
		Epoch:       t.epoch,
		Task:        id,
		Attempt:     t.attempt,
		Digest:      j.digest,
		Path:        j.Path,
		Timeout:     j.Timeout,
		NotRepeated: j.NotRepeated,
		Input:       j.Inputs[id.Index],
	})
}
