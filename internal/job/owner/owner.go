// Package owner holds the decisions of an entry that owns partitions: it admits
// submissions, queues their tasks, sends each task to one agent, and answers when
// all have ended.
//
// Nothing here reads a clock, a socket or a channel. Each method takes the
// present time and a message, and returns the effects that the caller must carry
// out, so that a test, a fuzzer or another front end can drive it.
package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/admitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// Settings are the fixed parameters of an Owner.
type Settings struct {
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Retention is how long an identity is remembered.
	Retention time.Duration
	// ClockBound is how far the clocks of callers may differ from ours.
	ClockBound time.Duration
	// MaxWaiting bounds the tasks that wait for a slot.
	MaxWaiting int
	// TypicalRun stands for the run of a task of a template not seen yet.
	TypicalRun time.Duration
}

// runAllowance is how many mean runs a job is given for the runs of its own tasks,
// of which the longest counts.
const runAllowance = 3

// Owner is the state of one entry's partitions. It is not safe for use by
// several goroutines at once.
type Owner struct {
	settings Settings
	tenure   time.Time
	word     time.Time
	holdings map[identifier.Partition]*holding
	book     admitter.Book[*job]
	queue    dispatcher.Queue
	pool     dispatcher.Pool
	runs     dispatcher.Estimator
	// sent holds the tasks that were sent to each agent and have not ended.
	sent      map[identifier.Agent]map[identifier.Task]bool
	bequests  map[bequeather]*bequest
	deadlines deadlines
	// nextWant is the place of the agent that is told next that work waits.
	nextWant int
	effects  []Effect
	// Counters is read by the metrics.
	Counters Counters
}

// Counters counts what the owner did since it was made.
type Counters struct {
	Admitted, Joined, Refused, Completed, Failed uint64
	Starts, NotStarted, Revokes, Wants, Returns  uint64
}

// New returns an owner of no partitions.
func New(settings Settings) *Owner {
	o := &Owner{
		settings: settings,
		holdings: make(map[identifier.Partition]*holding),
		sent:     make(map[identifier.Agent]map[identifier.Task]bool),
		bequests: make(map[bequeather]*bequest),
	}
	o.book.Retention = settings.Retention
	o.book.ClockBound = settings.ClockBound
	return o
}

// Confirm sets the end of the owner's tenure and that of its word. Until the end
// of its tenure, and not after, it starts work. Until the end of its word it can
// say that something was not run: no later owner serves before that.
func (o *Owner) Confirm(now, tenure, word time.Time) []Effect {
	o.tenure = tenure
	o.word = word
	o.dispatch(now)
	return o.flush()
}

// Extend sets a later end of the tenure, and leaves the end of the word.
func (o *Owner) Extend(now, tenure time.Time) []Effect {
	if tenure.After(o.tenure) {
		o.tenure = tenure
	}
	o.dispatch(now)
	return o.flush()
}

// Tenure returns how long the tenure still lasts, at least zero.
func (o *Owner) Tenure(now time.Time) time.Duration {
	return max(o.tenure.Sub(now), 0)
}

// Submit takes a job that the request waits for.
func (o *Owner) Submit(now time.Time, from Request, j describer.Job) []Effect {
	h := o.holdings[j.Submission.Partition(o.settings.Partitions)]
	switch {
	case h == nil:
		o.tell(from, Reply{Moved: true})
	case !h.serving:
		h.pending = append(h.pending, pending{from, j})
	default:
		o.admit(now, h, from, j)
	}
	return o.flush()
}

// Inquire answers at once what is known of a job, after cancelling what has not
// started if it was asked to.
func (o *Owner) Inquire(now time.Time, from Request, m *Inquire) []Effect {
	h := o.holdings[m.Submission.Partition(o.settings.Partitions)]
	if h == nil {
		o.tell(from, Reply{Moved: true})
		return o.flush()
	}
	j, ok := o.book.Find(m.Submission)
	if !ok {
		r := unknownJob(m.Submission)
		r.NotRun = h.serving && o.book.Remembers(now, m.Created) && !h.knows(m.Submission, m.Created)
		o.refuse(now, from, r)
		return o.flush()
	}
	if m.Cancel {
		o.giveUp(now, j, describer.Pending, "cancelled by the caller")
	}
	if j.ended {
		o.tell(from, Reply{Answer: j.answer})
	} else {
		o.tell(from, Reply{Running: true})
	}
	o.dispatch(now)
	return o.flush()
}

// Tick answers the jobs whose deadlines have passed, forgets what its retention
// no longer covers, and asks for slots if work waits.
func (o *Owner) Tick(now time.Time) []Effect {
	for {
		j := o.deadlines.due(now)
		if j == nil {
			break
		}
		o.giveUp(now, j, describer.MayHaveRun, "the deadline passed")
	}
	o.book.Expire(now)
	o.expireBequests(now)
	for _, h := range o.holdings {
		h.expire(now)
	}
	o.dispatch(now)
	return o.flush()
}

// Waiting returns the number of tasks that wait for a slot.
func (o *Owner) Waiting() int {
	return o.queue.Len()
}

// Held returns the number of identities that are remembered.
func (o *Owner) Held() int {
	return o.book.Len()
}

// Slots returns the number of slots that the entry holds, idle and used.
func (o *Owner) Slots() int {
	return o.pool.Slots()
}

// Unanswered returns the number of jobs that are admitted and have no answer.
func (o *Owner) Unanswered() int {
	n := len(o.deadlines)
	for _, h := range o.holdings {
		n += len(h.pending)
	}
	return n
}

func (o *Owner) admit(now time.Time, h *holding, from Request, described describer.Job) {
	digest := described.Digest()
	if h.contradicts(described.Submission, digest) {
		o.refuse(now, from, admitter.Reused(described.Submission))
		return
	}
	if r := o.checkLoad(h, &described); r != nil {
		o.refuse(now, from, r)
		return
	}
	open := func() *job { return newJob(now, described, digest) }
	j, verdict, r := o.book.Admit(now, &described, digest, open)
	switch {
	case verdict == admitter.Refused:
		o.refuse(now, from, r)
	case verdict == admitter.Joined && j.ended:
		o.Counters.Joined++
		o.tell(from, Reply{Answer: j.answer})
	case verdict == admitter.Joined:
		o.Counters.Joined++
		j.waiters = append(j.waiters, from)
	default:
		o.Counters.Admitted++
		j.waiters = append(j.waiters, from)
		o.open(now, h, j)
	}
}

// open puts the tasks of a new job on their way. A task that an agent has on
// record keeps its end. One without a record is queued, unless the evidence of
// its start may be lost.
func (o *Owner) open(now time.Time, h *holding, j *job) {
	o.deadlines.add(j)
	for i := range j.tasks {
		task := identifier.Task{Submission: j.Submission, Index: i}
		e, known := h.evidence[task]
		if known && !e.free {
			o.adopt(j, i, e)
			continue
		}
		j.tasks[i].attempt = e.attempt
		if !known && h.uncertain(j.Created) {
			o.end(j, i, describer.Result{Outcome: describer.MayHaveRun, Detail: "an agent that may have run it was lost"})
			continue
		}
		o.queue.Push(dispatcher.Item{Task: task, Urgent: j.Urgent, Deadline: j.deadline})
	}
	o.dispatch(now)
}

// adopt takes over a task that was started under an earlier owner.
func (o *Owner) adopt(j *job, i int, e evidence) {
	if e.result.Outcome != describer.Pending {
		o.end(j, i, e.result)
		return
	}
	if w := o.pool.Worker(e.agent); w != nil && w.Incarnation != e.incarnation {
		o.end(j, i, lostAgent())
		return
	}
	j.tasks[i] = task{state: sent, epoch: e.epoch, attempt: e.attempt, agent: e.agent, incarnation: e.incarnation}
	o.markSent(e.agent, identifier.Task{Submission: j.Submission, Index: i})
}

// dispatch sends waiting tasks as long as there are slots and tenure.
func (o *Owner) dispatch(now time.Time) {
	if !now.Before(o.tenure) {
		return
	}
	begun := len(o.effects)
	for o.queue.Len() > 0 && o.pool.Free() > 0 {
		it, _ := o.queue.Pop()
		j, ok := o.book.Find(it.Task.Submission)
		if !ok || j.ended || j.tasks[it.Task.Index].state != waiting {
			continue
		}
		w := o.pool.Take(now)
		if w == nil {
			o.queue.PushFront(it)
			break
		}
		o.start(now, j, it.Task, w)
	}
	o.tellWaiting(o.effects[begun:])
	if o.queue.Len() > 0 {
		o.want()
	}
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
			m.Waiting = o.queue.Len()
			o.pool.Worker(s.Agent).Told = m.Waiting > 0
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
	o.markSent(w.Agent, name)
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

// end sets the result of a task, and answers the job when it was the last.
func (o *Owner) end(j *job, i int, r describer.Result) {
	t := &j.tasks[i]
	if j.ended || t.state == ended {
		return
	}
	if t.state == sent {
		o.unmarkSent(t.agent, identifier.Task{Submission: j.Submission, Index: i})
	}
	t.state = ended
	t.result = r
	j.left--
	if j.left == 0 {
		o.answer(j)
	}
}

func (o *Owner) answer(j *job) {
	j.finish()
	if j.answer.Complete {
		o.Counters.Completed++
	} else {
		o.Counters.Failed++
	}
	o.deadlines.remove(j)
	for _, to := range j.waiters {
		o.tell(to, Reply{Answer: j.answer})
	}
	j.waiters = nil
}

// giveUp ends the tasks of a job that have not started, and those that have with
// the given outcome; Pending leaves them running.
func (o *Owner) giveUp(now time.Time, j *job, started describer.Outcome, why string) {
	for i := range j.tasks {
		if j.ended {
			return
		}
		switch j.tasks[i].state {
		case waiting:
			o.end(j, i, o.notRun(now, why))
		case sent:
			if started != describer.Pending {
				o.end(j, i, describer.Result{Outcome: started, Detail: why})
			}
		}
	}
}

// notRun is the result of a task that this owner did not start and never will. A
// later owner may have, once this one's word is over.
func (o *Owner) notRun(now time.Time, why string) describer.Result {
	if !now.Before(o.word) {
		return describer.Result{Outcome: describer.MayHaveRun, Detail: why + ", and the ownership was not confirmed"}
	}
	return describer.Result{Outcome: describer.NotRun, Detail: why}
}

// checkLoad refuses a new job that would wait longer than its caller does.
func (o *Owner) checkLoad(h *holding, j *describer.Job) *refuser.Refusal {
	if _, known := o.book.Find(j.Submission); known || h.knows(j.Submission, j.Created) {
		return nil
	}
	if o.queue.Len()+len(j.Inputs) > o.settings.MaxWaiting {
		return overloaded(j.Budget)
	}
	slots := o.pool.Slots()
	if slots == 0 {
		return nil
	}
	run := o.runs.Mean(j.Template, o.settings.TypicalRun)
	ahead := o.queue.Ahead(j.Submission.Workspace, j.Urgent) + len(j.Inputs) - 1
	wait := time.Duration(ahead) * run / time.Duration(slots)
	if late := wait + runAllowance*run - j.Budget; late > 0 {
		return overloaded(late)
	}
	return nil
}

// refuse passes on a refusal, with its promise only while the word lasts.
func (o *Owner) refuse(now time.Time, to Request, r *refuser.Refusal) {
	o.Counters.Refused++
	r.NotRun = r.NotRun && now.Before(o.word)
	o.tell(to, Reply{Answer: describer.Answer{Refusal: r}})
}

func (o *Owner) tell(to Request, r Reply) {
	r.Sequence = to.Sequence
	o.effects = append(o.effects, Tell{to, r})
}

func (o *Owner) send(to identifier.Agent, message any) {
	o.effects = append(o.effects, Send{to, message})
}

func (o *Owner) flush() []Effect {
	effects := o.effects
	o.effects = nil
	return effects
}

func unknownJob(s identifier.Submission) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.UnknownJob,
		Detail: "no job with the identity " + s.String() + " is known",
		Remedy: "check workspace and key; a job is known from its submission until its retention is over",
	}
}

func overloaded(wait time.Duration) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:       refuser.Overloaded,
		Detail:     "the job would wait longer than its deadline allows",
		Remedy:     "submit it again under the same identity after the stated time",
		NotRun:     true,
		RetryAfter: max(wait.Round(time.Second), time.Second),
	}
}
