// Package starter decides, beside a backend server, whether a task may start.
// It is the last check before a side effect: whatever goes wrong among the
// entries, an agent starts no task twice and none for an owner that has been
// replaced.
package starter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/splitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Starter is what one incarnation of an agent remembers. It is not safe for use
// by several goroutines at once. Incarnation and Retention are set before use.
type Starter struct {
	Incarnation identifier.Incarnation
	// Retention is how long a record is kept after the task's last change.
	Retention time.Duration

	draining bool
	fences   map[identifier.Partition]fence
	leases   map[identifier.Entry]time.Time
	asked    map[identifier.Entry]ask
	records  map[identifier.Task]*record
	// expiry holds the records in the order of their making.
	expiry []expiring
	// running counts the records whose task has started and not ended.
	running int
}

// fence is the highest epoch of a partition that was seen, with the entry that
// showed it.
type fence struct {
	epoch identifier.Epoch
	owner identifier.Entry
}

type record struct {
	partition identifier.Partition
	epoch     identifier.Epoch
	attempt   uint32
	digest    uint64
	started   bool
	result    describer.Result
}

type expiring struct {
	task identifier.Task
	at   time.Time
}

type ask struct {
	sequence uint64
	sent     time.Time
}

// Start decides on m from the entry named from, which holds a slot or not. When
// it returns Accepted, the start is on record and the caller must call the
// backend server, once.
//
// A refused attempt leaves a tombstone: the owner will send the task elsewhere,
// so a repeated copy of m must not start it here when, say, the lease has been
// confirmed in the meantime.
func (s *Starter) Start(now time.Time, from identifier.Entry, m *Start, slot bool) Reason {
	if m.Incarnation != s.Incarnation {
		return OtherIncarnation
	}
	if m.Epoch < s.fences[m.Partition].epoch {
		return Fenced
	}
	s.raise(m.Partition, m.Epoch, from)
	r := s.records[m.Task]
	if r != nil && r.started {
		return AlreadyStarted
	}
	if r != nil && !r.before(m.Epoch, m.Attempt) {
		return Tombstoned
	}
	r = s.keep(now, m.Partition, m.Epoch, m.Task, m.Attempt)
	r.digest = m.Digest
	if s.draining {
		return Draining
	}
	if !now.Before(s.leases[from]) {
		return LeaseOver
	}
	if !slot {
		return NoSlot
	}
	r.started = true
	s.running++
	return Accepted
}

// before reports whether r is older than the given attempt.
func (r *record) before(epoch identifier.Epoch, attempt uint32) bool {
	if r.epoch != epoch {
		return r.epoch < epoch
	}
	return r.attempt < attempt
}

func (s *Starter) raise(p identifier.Partition, e identifier.Epoch, owner identifier.Entry) {
	if s.fences == nil {
		s.fences = make(map[identifier.Partition]fence)
	}
	if e > s.fences[p].epoch {
		s.fences[p] = fence{e, owner}
	}
}

func (s *Starter) keep(now time.Time, p identifier.Partition, e identifier.Epoch, task identifier.Task, attempt uint32) *record {
	if s.records == nil {
		s.records = make(map[identifier.Task]*record)
	}
	r := s.records[task]
	if r == nil {
		r = &record{partition: p}
		s.records[task] = r
		s.expiry = append(s.expiry, expiring{task, now.Add(s.Retention)})
	}
	r.epoch, r.attempt = e, attempt
	return r
}

// End keeps the result of a started task, and returns the entry to report it to:
// the newest owner of the partition that is known.
func (s *Starter) End(task identifier.Task, result describer.Result) identifier.Entry {
	r := s.records[task]
	if r == nil || !r.started || r.result.Outcome != describer.Pending {
		return ""
	}
	r.result = result
	s.running--
	return s.fences[r.partition].owner
}

// MarkUnreachable turns the record of a started task into a tombstone, and returns the
// report for the entry that is named. It is only for a call that provably never
// reached the backend server.
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

// Revoke answers m, and leaves a tombstone unless the task has started.
func (s *Starter) Revoke(now time.Time, from identifier.Entry, m *Revoke) (Revoked, bool) {
	if m.Incarnation != s.Incarnation || m.Epoch < s.fences[m.Partition].epoch {
		return Revoked{}, false
	}
	s.raise(m.Partition, m.Epoch, from)
	answer := Revoked{Incarnation: s.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt}
	r := s.records[m.Task]
	if r != nil && r.started {
		answer.Started = true
		answer.Result = r.result
		return answer, true
	}
	if r == nil || r.before(m.Epoch, m.Attempt) {
		s.keep(now, m.Partition, m.Epoch, m.Task, m.Attempt)
	}
	return answer, true
}

// Seal raises the fences to the claims of m and returns what was started in
// their partitions. It returns nothing when m is for another incarnation.
func (s *Starter) Seal(from identifier.Entry, m *Seal) []*Sealed {
	if m.Incarnation != s.Incarnation {
		return nil
	}
	sealed := make(map[identifier.Partition]bool, len(m.Claims))
	for _, c := range m.Claims {
		s.raise(c.Partition, c.Epoch, from)
		sealed[c.Partition] = true
	}
	records := s.reports(func(r *record) bool { return sealed[r.partition] })
	var answers []*Sealed
	for _, part := range splitter.Split(records, Record.size) {
		answers = append(answers, &Sealed{Incarnation: s.Incarnation, Claims: m.Claims, Records: part})
	}
	return append(answers, &Sealed{Incarnation: s.Incarnation, Claims: m.Claims, Last: true})
}

// reports returns the wanted records of started tasks, in no order.
func (s *Starter) reports(wanted func(*record) bool) []Record {
	var records []Record
	for task, r := range s.records {
		if r.started && wanted(r) {
			records = append(records, Record{Task: task, Epoch: r.epoch, Attempt: r.attempt, Digest: r.digest, Result: r.result})
		}
	}
	return records
}

// RaiseFence raises the fence of one partition without a seal, from a reading of the
// table service.
func (s *Starter) RaiseFence(owner identifier.Entry, c Claim) {
	s.raise(c.Partition, c.Epoch, owner)
}

// RecordLeaseRequest notes that the question with this sequence is being sent.
func (s *Starter) RecordLeaseRequest(now time.Time, to identifier.Entry, sequence uint64) {
	if s.asked == nil {
		s.asked = make(map[identifier.Entry]ask)
	}
	s.asked[to] = ask{sequence, now}
}

// HandleLeaseReply takes an entry's answer. The lease is counted from the sending of the
// question: a pause on either side, or on the way, can only shorten it.
func (s *Starter) HandleLeaseReply(from identifier.Entry, m *LeaseReply) {
	a, ok := s.asked[from]
	if !ok || a.sequence != m.Sequence {
		return
	}
	if s.leases == nil {
		s.leases = make(map[identifier.Entry]time.Time)
	}
	until := a.sent.Add(m.Remaining)
	if until.After(s.leases[from]) {
		s.leases[from] = until
	}
}

// Unlink forgets the lease of an entry whose link has ended: the process that is
// linked next under its name may be another.
func (s *Starter) Unlink(entry identifier.Entry) {
	delete(s.leases, entry)
	delete(s.asked, entry)
}

// Drain makes the starter refuse all further starts.
func (s *Starter) Drain() {
	s.draining = true
}

// FinalReports returns everything that was started, for an agent that drains and runs
// nothing more.
func (s *Starter) FinalReports() []*FinalReport {
	var messages []*FinalReport
	for _, part := range splitter.Split(s.reports(func(*record) bool { return true }), Record.size) {
		messages = append(messages, &FinalReport{Incarnation: s.Incarnation, Records: part})
	}
	return append(messages, &FinalReport{Incarnation: s.Incarnation, Last: true})
}

// Running returns how many started tasks have not ended.
func (s *Starter) Running() int {
	return s.running
}

// Records returns how many records are held, tombstones included.
func (s *Starter) Records() int {
	return len(s.records)
}

// Expire forgets the records whose retention is over. A running task is kept
// for another retention.
func (s *Starter) Expire(now time.Time) {
	n := 0
	for n < len(s.expiry) && !now.Before(s.expiry[n].at) {
		task := s.expiry[n].task
		n++
		r := s.records[task]
		if r.started && r.result.Outcome == describer.Pending {
			s.expiry = append(s.expiry, expiring{task, now.Add(s.Retention)})
			continue
		}
		delete(s.records, task)
	}
	s.expiry = s.expiry[n:]
}
