package runner

import (
	"context"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// replyGrace is how much longer than a job's deadline its answer is awaited: the
// owner answers at the deadline, and the answer has a way to go.
const replyGrace = time.Second

// inquireTimeout bounds the wait for what is known of a job.
const inquireTimeout = 5 * time.Second

// pendingReplies matches replies to those who wait for them. Each question has a number
// of its own, so a late reply to an earlier question reaches nobody.
type pendingReplies struct {
	last    uint64
	waiting map[uint64]chan owner.Reply
}

func (q *pendingReplies) add() (uint64, <-chan owner.Reply) {
	if q.waiting == nil {
		q.waiting = make(map[uint64]chan owner.Reply)
	}
	q.last++
	ch := make(chan owner.Reply, 1)
	q.waiting[q.last] = ch
	return q.last, ch
}

func (q *pendingReplies) deliver(r *owner.Reply) {
	if ch, ok := q.waiting[r.Sequence]; ok {
		delete(q.waiting, r.Sequence)
		ch <- *r
	}
}

func (q *pendingReplies) remove(sequence uint64) {
	delete(q.waiting, sequence)
}

// Submit asks the owner of the job's partition until there is an answer, also
// when the owner changes. Asking again is harmless: the identity joins the
// requests.
func (r *Runner) Submit(ctx context.Context, job describer.Job) describer.Answer {
	deadline := r.clock().Add(job.Budget)
	ctx, cancel := context.WithTimeout(ctx, job.Budget+replyGrace)
	defer cancel()
	p := job.Submission.Partition(r.settings.Partitions)
	reply, asked := r.requestOwner(ctx, p, func(now time.Time, sequence uint64) any {
		left := job
		left.Budget = max(deadline.Sub(now), 0)
		return &owner.Submit{Sequence: sequence, Job: left}
	})
	if reply == nil {
		return describer.Answer{Refusal: noReplyRefusal(asked)}
	}
	return reply.Answer
}

// Inquire asks the owner what is known of a job, and whether it still runs.
func (r *Runner) Inquire(ctx context.Context, s identifier.Submission, created time.Time, cancel bool) (describer.Answer, bool) {
	ctx, stop := context.WithTimeout(ctx, inquireTimeout)
	defer stop()
	reply, asked := r.requestOwner(ctx, s.Partition(r.settings.Partitions), func(_ time.Time, sequence uint64) any {
		return &owner.Inquire{Sequence: sequence, Submission: s, Created: created, Cancel: cancel}
	})
	if reply == nil {
		return describer.Answer{Refusal: noReplyRefusal(asked)}, false
	}
	return reply.Answer, reply.Running
}

// requestOwner puts a question to the owner of a partition, and again to the next one when
// the partition moves. It returns nil when ctx ends first, and whether any owner
// may have got the question.
func (r *Runner) requestOwner(ctx context.Context, p identifier.Partition, question func(time.Time, uint64) any) (reply *owner.Reply, asked bool) {
	for {
		sent := r.sendRequest(p, question)
		asked = asked || sent.sent
		reply := r.awaitReply(ctx, sent)
		if reply != nil && !reply.Moved {
			return reply, asked
		}
		if ctx.Err() != nil {
			return nil, asked
		}
		if reply != nil {
			r.waitForNewOwner(ctx, sent)
		}
	}
}

// sentRequest is one that was put to an owner.
type sentRequest struct {
	partition identifier.Partition
	sequence  uint64
	reply     <-chan owner.Reply
	target    identifier.Entry
	link      *connector.Link
	// sent is false when the owner could not be reached.
	sent          bool
	routesChanged <-chan struct{}
}

func (r *Runner) sendRequest(p identifier.Partition, ask func(time.Time, uint64) any) sentRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := sentRequest{partition: p, routesChanged: r.routesChanged, target: r.claimer.Owner(p)}
	q.sequence, q.reply = r.requests.add()
	now := r.clock()
	message := ask(now, q.sequence)
	if q.target == r.settings.Name {
		q.sent = true
		r.handleLocally(now, message)
		return q
	}
	q.link = r.dialled[q.target]
	if q.link != nil {
		q.sent = true
		r.sendOn(q.link, message)
	}
	return q
}

func (r *Runner) handleLocally(now time.Time, message any) {
	switch m := message.(type) {
	case *owner.Submit:
		r.perform(r.owner.Submit(now, owner.RequestID{Entry: r.settings.Name, Sequence: m.Sequence}, m.Job))
	case *owner.Inquire:
		r.perform(r.owner.Inquire(now, owner.RequestID{Entry: r.settings.Name, Sequence: m.Sequence}, m))
	}
}

// awaitReply returns the reply to a question, or nil when the question has to be put
// again or ctx ends.
func (r *Runner) awaitReply(ctx context.Context, q sentRequest) *owner.Reply {
	moved := q.routesChanged
	for {
		select {
		case reply := <-q.reply:
			return &reply
		case <-ctx.Done():
			r.forgetRequest(q)
			return nil
		case <-moved:
		}
		r.mu.Lock()
		moved = r.routesChanged
		stale := r.needsResend(q)
		r.mu.Unlock()
		if stale {
			r.forgetRequest(q)
			return nil
		}
	}
}

// needsResend reports whether a question has to be put again: it reached nobody, its
// link is gone, or the partition has another owner.
func (r *Runner) needsResend(q sentRequest) bool {
	if !q.sent || r.claimer.Owner(q.partition) != q.target {
		return true
	}
	return q.target != r.settings.Name && r.dialled[q.target] != q.link
}

// waitForNewOwner waits, after an owner said that it is not one, until this entry
// knows of another.
func (r *Runner) waitForNewOwner(ctx context.Context, q sentRequest) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-q.routesChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Runner) forgetRequest(q sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.remove(q.sequence)
}

// noReplyRefusal is the refusal for a question that got no reply in time. It promises
// nothing: the submission may have reached its owner by another entry.
func noReplyRefusal(asked bool) *refuser.Refusal {
	if asked {
		return &refuser.Refusal{
			Kind:   refuser.Uncertain,
			Detail: "the entry that owns the job gave no answer in time",
			Remedy: "submit the same identity again, which starts nothing twice",
		}
	}
	return &refuser.Refusal{
		Kind:       refuser.NoOwner,
		Detail:     "no entry that owns the job could be reached",
		Remedy:     "submit the same identity again after the stated time",
		RetryAfter: time.Second,
	}
}

// Owns reports whether this entry owns and serves the partition of a submission.
func (r *Runner) Owns(s identifier.Submission) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, serving := r.owner.PartitionState(s.Partition(r.settings.Partitions))
	return serving
}
