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

// replyGrace is how much longer than the job's deadline Submit waits for the answer: the
// owner answers at the deadline, and its reply takes time to arrive.
const replyGrace = time.Second

// inquireTimeout bounds how long Inquire waits for the owner.
const inquireTimeout = 5 * time.Second

// pendingReplies matches replies to the requests that wait for them. Each request has its
// own sequence number, so a late reply to an earlier request is dropped.
type pendingReplies struct {
	last    uint64
	waiting map[uint64]chan owner.Reply
}

// add registers a new request, and returns its sequence number and the channel for its
// reply.
func (p *pendingReplies) add() (uint64, <-chan owner.Reply) {
	if p.waiting == nil {
		p.waiting = make(map[uint64]chan owner.Reply)
	}
	p.last++
	ch := make(chan owner.Reply, 1)
	p.waiting[p.last] = ch
	return p.last, ch
}

// deliver passes a reply to the request that waits for it, if there is one.
func (p *pendingReplies) deliver(r *owner.Reply) {
	if ch, ok := p.waiting[r.Sequence]; ok {
		delete(p.waiting, r.Sequence)
		ch <- *r
	}
}

// remove removes a request that no longer waits.
func (p *pendingReplies) remove(sequence uint64) {
	delete(p.waiting, sequence)
}

// Submit submits a job to the owner of its partition and returns the answer. When the owner
// changes, it submits the job again; this is safe because submissions with the same identity
// are joined into one.
func (r *Runner) Submit(ctx context.Context, job describer.Job) describer.Answer {
	deadline := r.clock().Add(job.Budget)
	ctx, cancel := context.WithTimeout(ctx, job.Budget+replyGrace)
	defer cancel()
	p := job.Submission.Partition(r.settings.Partitions)
	reply, sent := r.requestOwner(ctx, p, func(now time.Time, sequence uint64) any {
		remaining := job
		remaining.Budget = max(deadline.Sub(now), 0)
		return &owner.Submit{Sequence: sequence, Job: remaining}
	})
	if reply == nil {
		return describer.Answer{Refusal: noReplyRefusal(sent)}
	}
	return reply.Answer
}

// Inquire asks the owner of a job's partition for the job's answer, and reports whether the
// job is still running. If cancel is set, the tasks that have not been sent to an agent are
// cancelled.
func (r *Runner) Inquire(ctx context.Context, s identifier.Submission, created time.Time, cancel bool) (describer.Answer, bool) {
	ctx, stop := context.WithTimeout(ctx, inquireTimeout)
	defer stop()
	reply, sent := r.requestOwner(ctx, s.Partition(r.settings.Partitions), func(_ time.Time, sequence uint64) any {
		return &owner.Inquire{Sequence: sequence, Submission: s, Created: created, Cancel: cancel}
	})
	if reply == nil {
		return describer.Answer{Refusal: noReplyRefusal(sent)}, false
	}
	return reply.Answer, reply.Running
}

// requestOwner sends a request to the owner of a partition and returns the reply. It sends
// the request again when the partition has a new owner or the link to the owner was
// replaced. If ctx ends first, it returns nil. It also reports whether the request was sent,
// so that an owner may have received it.
func (r *Runner) requestOwner(ctx context.Context, p identifier.Partition, newMessage func(time.Time, uint64) any) (reply *owner.Reply, sent bool) {
	for {
		req := r.sendRequest(p, newMessage)
		sent = sent || req.sent
		reply := r.awaitReply(ctx, req)
		if reply != nil && !reply.Moved {
			return reply, sent
		}
		if ctx.Err() != nil {
			return nil, sent
		}
		if reply != nil {
			r.waitForNewOwner(ctx, req)
		}
	}
}

// ownerRequest is one attempt to send a request to the owner of a partition.
type ownerRequest struct {
	partition identifier.Partition
	sequence  uint64
	reply     <-chan owner.Reply
	target    identifier.Entry
	link      *connector.Link
	// sent is false if there was no link to the owner.
	sent bool
	// routesChanged is the runner's channel of that name when the request was sent.
	routesChanged <-chan struct{}
}

// sendRequest makes one attempt to send a request to the current owner of a partition.
func (r *Runner) sendRequest(p identifier.Partition, newMessage func(time.Time, uint64) any) ownerRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := ownerRequest{partition: p, routesChanged: r.routesChanged, target: r.claimer.Owner(p)}
	req.sequence, req.reply = r.requests.add()
	now := r.clock()
	message := newMessage(now, req.sequence)
	if req.target == r.settings.Name {
		req.sent = true
		r.handleLocally(now, message)
		return req
	}
	req.link = r.dialled[req.target]
	if req.link != nil {
		req.sent = true
		r.sendOn(req.link, message)
	}
	return req
}

// handleLocally handles a request of this entry to itself.
func (r *Runner) handleLocally(now time.Time, message any) {
	switch m := message.(type) {
	case *owner.Submit:
		r.perform(r.owner.Submit(now, owner.RequestID{Entry: r.settings.Name, Sequence: m.Sequence}, m.Job))
	case *owner.Inquire:
		r.perform(r.owner.Inquire(now, owner.RequestID{Entry: r.settings.Name, Sequence: m.Sequence}, m))
	}
}

// awaitReply waits for the reply to a request. It returns nil when the request has to be
// sent again or ctx ends.
func (r *Runner) awaitReply(ctx context.Context, req ownerRequest) *owner.Reply {
	changed := req.routesChanged
	for {
		select {
		case reply := <-req.reply:
			return &reply
		case <-ctx.Done():
			r.forgetRequest(req)
			return nil
		case <-changed:
		}
		r.mu.Lock()
		changed = r.routesChanged
		resend := r.needsResend(req)
		r.mu.Unlock()
		if resend {
			r.forgetRequest(req)
			return nil
		}
	}
}

// needsResend reports whether a request has to be sent again: it was not sent, its link was
// removed or replaced, or the partition has another owner.
func (r *Runner) needsResend(req ownerRequest) bool {
	if !req.sent || r.claimer.Owner(req.partition) != req.target {
		return true
	}
	return req.target != r.settings.Name && r.dialled[req.target] != req.link
}

// waitForNewOwner waits, after the addressed entry replied that it does not own the partition,
// until this entry observes a change of routes, but for at most tickInterval.
func (r *Runner) waitForNewOwner(ctx context.Context, req ownerRequest) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-req.routesChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// forgetRequest stops waiting for the reply to a request.
func (r *Runner) forgetRequest(req ownerRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.remove(req.sequence)
}

// noReplyRefusal returns the refusal for a request that got no reply in time. It never
// states that nothing was run: the submission may have reached its owner through another
// entry.
func noReplyRefusal(sent bool) *refuser.Refusal {
	if sent {
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
