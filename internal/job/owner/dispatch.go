package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// dispatch sends waiting tasks as long as there are slots and lease.
func (o *Owner) dispatch(now time.Time) {
	if !now.Before(o.lease) {
		return
	}
	begun := len(o.effects)
	for o.ready() > 0 && o.pool.Free() > 0 {
		it, _ := o.queue.Pop(o.allowsNormal())
		j, ok := o.find(it.Task.Submission)
		if !ok || j.ended || j.tasks[it.Task.Index].state != waiting {
			continue
		}
		w := o.pool.TakeSlot(now)
		if w == nil {
			o.queue.PushFront(it)
			break
		}
		o.start(now, j, it.Task, w)
	}
	o.tellWaiting(o.effects[begun:])
	if o.ready() > 0 {
		o.want()
	}
}

// ready returns how many waiting tasks may start when there are slots.
func (o *Owner) ready() int {
	return o.queue.Ready(o.allowsNormal())
}

// allowsNormal reports whether another task that is not urgent may start. Such tasks
// are held to a share of the slots: they may run long, and urgent work that comes
// meanwhile must find a slot.
func (o *Owner) allowsNormal() bool {
	return o.normal < o.normalSlots()
}

// normalSlots is how many slots tasks that are not urgent may use, at least one.
func (o *Owner) normalSlots() int {
	return max(int(o.settings.NormalShare*float64(o.pool.Slots())), 1)
}

// tellWaiting puts into each start how much work waits once all of them are sent.
// A count from in between would make agents find slots for work that others have
// got by then.
func (o *Owner) tellWaiting(effects []Effect) {
	for _, e := range effects {
		s, ok := e.(Send)
		if !ok {
			continue
		}
		if m, ok := s.Message.(*starter.Start); ok {
			m.Waiting = o.ready()
			o.pool.Worker(s.Agent).Notified = m.Waiting > 0
		}
	}
}

func (o *Owner) start(now time.Time, j *job, name identifier.Task, w *dispatcher.Worker) {
	t := &j.tasks[name.Index]
	t.state = sent
	t.agent, t.incarnation = w.Agent, w.Incarnation
	p := j.Submission.Partition(o.settings.Partitions)
	t.epoch = o.holdings[p].epoch
	t.attempt++
	t.at = now
	o.markSent(w.Agent, name, j.Urgent)
	o.Counters.Starts++
	o.send(w.Agent, &starter.Start{
		Incarnation: w.Incarnation,
		Partition:   p,
		Epoch:       t.epoch,
		Task:        name,
		Attempt:     t.attempt,
		Digest:      j.digest,
		Path:        j.Path,
		Timeout:     j.Timeout,
		NotRepeated: j.NotRepeated,
		Input:       j.Inputs[name.Index],
	})
}
