// Package starter implements the decision, made by the agent beside a backend
// server, whether a task may start. It is the last check before a side effect:
// whatever fails among the entries, an agent starts no task twice and no task for an
// owner that it knows to have been replaced.
package starter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/splitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Starter holds the state of one incarnation of an agent: the fences of the
// partitions, the leases of the entries and a record of each task. It is not safe for
// concurrent use. Incarnation and Retention must be set before use.
type Starter struct {
	Incarnation identifier.Incarnation
	// Retention is how long a record is kept after its creation. The record of a task
	// that is still running then is kept for another such period.
	Retention time.Duration

	draining      bool
	fences        map[identifier.Partition]fence
	leases        map[identifier.Entry]time.Time
	leaseRequests map[identifier.Entry]leaseRequest
	records       map[identifier.Task]*taskRecord
	// expiry lists the records in the order in which they expire.
	expiry []expiringRecord
	// running counts the tasks that have started and not ended.
	running int
}

// fence is the highest epoch observed for a partition, with the owner in that epoch.
// Starts and revocations with a lower epoch are refused.
type fence struct {
	epoch identifier.Epoch
	owner identifier.Entry
}

// taskRecord is the latest attempt to start a task. A record that is not started is a
// tombstone: the attempt must never start.
type taskRecord struct {
	partition identifier.Partition
	epoch     identifier.Epoch
	attempt   uint32
	digest    uint64
	started   bool
	result    describer.Result
}

// expiringRecord is a task whose record is due to expire at the given time.
type expiringRecord struct {
	task identifier.Task
	at   time.Time
}

// leaseRequest is the latest LeaseRequest sent to an entry.
type leaseRequest struct {
	sequence uint64
	sent     time.Time
}

// Start decides on m, sent by the entry from. hasSlot is whether that entry held a
// granted slot. When Start returns Accepted, the start is recorded and the caller
// must call the backend server exactly once.
//
// A refused attempt leaves a tombstone. The owner will send the task to another
// agent, so a duplicate of m must not start it here once the cause of the refusal is
// gone, for example after the lease has been renewed.
func (s *Starter) Start(now time.Time, from identifier.Entry, m *Start, hasSlot bool) Reason {
	if m.Incarnation != s.Incarnation {
		return OtherIncarnation
	}
	if m.Epoch < s.fences[m.Partition].epoch {
		return Fenced
	}
	s.observeEpoch(m.Partition, m.Epoch, from)
	r := s.records[m.Task]
	if r != nil && r.started {
		return AlreadyStarted
	}
	if r != nil && !r.olderThan(m.Epoch, m.Attempt) {
		return Tombstoned
	}
	r = s.recordAttempt(now, m.Partition, m.Epoch, m.Task, m.Attempt)
	r.digest = m.Digest
	if s.draining {
		return Draining
	}
	if !now.Before(s.leases[from]) {
		return LeaseOver
	}
	if !hasSlot {
		return NoSlot
	}
	r.started = true
	s.running++
	return Accepted
}

// olderThan reports whether r records an earlier attempt than the given one.
// Attempts are counted within an epoch.
func (r *taskRecord) olderThan(epoch identifier.Epoch, attempt uint32) bool {
	if r.epoch != epoch {
		return r.epoch < epoch
	}
	return r.attempt < attempt
}

// observeEpoch raises the fence of p to epoch e, unless e is not above it.
func (s *Starter) observeEpoch(p identifier.Partition, e identifier.Epoch, owner identifier.Entry) {
	if s.fences == nil {
		s.fences = make(map[identifier.Partition]fence)
	}
	if e > s.fences[p].epoch {
		s.fences[p] = fence{e, owner}
	}
}

// recordAttempt creates or updates the record of a task with the given attempt.
func (s *Starter) recordAttempt(now time.Time, p identifier.Partition, e identifier.Epoch, task identifier.Task, attempt uint32) *taskRecord {
	if s.records == nil {
		s.records = make(map[identifier.Task]*taskRecord)
	}
	r := s.records[task]
	if r == nil {
		r = &taskRecord{partition: p}
		s.records[task] = r
		s.expiry = append(s.expiry, expiringRecord{task, now.Add(s.Retention)})
	}
	r.epoch, r.attempt = e, attempt
	return r
}

// End records the result of a running task. It returns the entry to report it to,
// which is the newest known owner of the partition, or "" if the task is not running.
func (s *Starter) End(task identifier.Task, result describer.Result) identifier.Entry {
	r := s.records[task]
	if r == nil || !r.started || r.result.Outcome != describer.Pending {
		return ""
	}
	r.result = result
	s.running--
	return s.fences[r.partition].owner
}

// MarkUnreachable turns the record of a running task into a tombstone. It returns the
// newest known owner of the partition and the report to send to it, or "" if the task
// is not running. It must be called only if the call certainly never reached the
// backend server.
func (s *Starter) MarkUnreachable(task identifier.Task) (identifier.Entry, NotStarted) {
	r := s.records[task]
	if r == nil || !r.started || r.result.Outcome != describer.Pending {
		return "", NotStarted{}
	}
	r.started = false
	s.running--
	return s.fences[r.partition].owner, NotStarted{
		Incarnation: s.Incarnation,
		Task:        task,
		Epoch:       r.epoch,
		Attempt:     r.attempt,
		Reason:      Unreachable,
	}
}

// Revoke returns the reply to m, and leaves a tombstone unless the task has started.
// It returns false, and m gets no reply, if m is for another incarnation or from a
// replaced owner.
func (s *Starter) Revoke(now time.Time, from identifier.Entry, m *Revoke) (Revoked, bool) {
	if m.Incarnation != s.Incarnation || m.Epoch < s.fences[m.Partition].epoch {
		return Revoked{}, false
	}
	s.observeEpoch(m.Partition, m.Epoch, from)
	reply := Revoked{Incarnation: s.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt}
	r := s.records[m.Task]
	if r != nil && r.started {
		reply.Started = true
		reply.Result = r.result
		return reply, true
	}
	if r == nil || r.olderThan(m.Epoch, m.Attempt) {
		s.recordAttempt(now, m.Partition, m.Epoch, m.Task, m.Attempt)
	}
	return reply, true
}

// Seal raises the fences to the epochs claimed in m, and returns the records of all
// tasks started in those partitions. It returns nil if m is for another incarnation.
func (s *Starter) Seal(from identifier.Entry, m *Seal) []*Sealed {
	if m.Incarnation != s.Incarnation {
		return nil
	}
	sealed := make(map[identifier.Partition]bool, len(m.Claims))
	for _, c := range m.Claims {
		s.observeEpoch(c.Partition, c.Epoch, from)
		sealed[c.Partition] = true
	}
	records := s.startedRecords(func(r *taskRecord) bool { return sealed[r.partition] })
	var replies []*Sealed
	for _, part := range splitter.Split(records, Record.size) {
		replies = append(replies, &Sealed{Incarnation: s.Incarnation, Claims: m.Claims, Records: part})
	}
	return append(replies, &Sealed{Incarnation: s.Incarnation, Claims: m.Claims, Last: true})
}

// startedRecords returns the records of started tasks for which wanted returns true,
// in no particular order.
func (s *Starter) startedRecords(wanted func(*taskRecord) bool) []Record {
	var records []Record
	for task, r := range s.records {
		if r.started && wanted(r) {
			records = append(records, Record{Task: task, Epoch: r.epoch, Attempt: r.attempt, Digest: r.digest, Result: r.result})
		}
	}
	return records
}

// RaiseFence raises the fence of one partition to an epoch that was read from the
// table service rather than received in a message.
func (s *Starter) RaiseFence(owner identifier.Entry, c Claim) {
	s.observeEpoch(c.Partition, c.Epoch, owner)
}

// RecordLeaseRequest records that a LeaseRequest with the given sequence number is
// sent to an entry now.
func (s *Starter) RecordLeaseRequest(now time.Time, to identifier.Entry, sequence uint64) {
	if s.leaseRequests == nil {
		s.leaseRequests = make(map[identifier.Entry]leaseRequest)
	}
	s.leaseRequests[to] = leaseRequest{sequence, now}
}

// HandleLeaseReply renews the lease of an entry. The lease is counted from the time at
// which the request was sent, so a delay on either side or in the network can only
// shorten it. A reply to any request but the latest is ignored.
func (s *Starter) HandleLeaseReply(from identifier.Entry, m *LeaseReply) {
	request, ok := s.leaseRequests[from]
	if !ok || request.sequence != m.Sequence {
		return
	}
	if s.leases == nil {
		s.leases = make(map[identifier.Entry]time.Time)
	}
	until := request.sent.Add(m.Remaining)
	if until.After(s.leases[from]) {
		s.leases[from] = until
	}
}

// Unlink removes the lease of an entry whose link has ended. The next process that
// links under that name may be a different one.
func (s *Starter) Unlink(entry identifier.Entry) {
	delete(s.leases, entry)
	delete(s.leaseRequests, entry)
}

// Drain makes Start refuse every new task from now on.
func (s *Starter) Drain() {
	s.draining = true
}

// FinalReports returns the records of all started tasks. It is called when the agent
// drains and no task runs any more.
func (s *Starter) FinalReports() []*FinalReport {
	var messages []*FinalReport
	for _, part := range splitter.Split(s.startedRecords(func(*taskRecord) bool { return true }), Record.size) {
		messages = append(messages, &FinalReport{Incarnation: s.Incarnation, Records: part})
	}
	return append(messages, &FinalReport{Incarnation: s.Incarnation, Last: true})
}

// Running returns the number of tasks that have started and not ended.
func (s *Starter) Running() int {
	return s.running
}

// Records returns the number of records, including tombstones.
func (s *Starter) Records() int {
	return len(s.records)
}

// Expire deletes the records whose retention is over. The record of a running task is
// kept for another retention period.
func (s *Starter) Expire(now time.Time) {
	n := 0
	for n < len(s.expiry) && !now.Before(s.expiry[n].at) {
		task := s.expiry[n].task
		n++
		r := s.records[task]
		if r.started && r.result.Outcome == describer.Pending {
			s.expiry = append(s.expiry, expiringRecord{task, now.Add(s.Retention)})
			continue
		}
		delete(s.records, task)
	}
	s.expiry = s.expiry[n:]
}
