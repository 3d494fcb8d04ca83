// Package admitter decides whether a submission is new, joins one that is known,
// or is refused. It is what makes a resubmission harmless: of two requests with
// one identity only the first is admitted, and both get its answer.
package admitter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Registry holds the identities that the owner of some partitions has admitted. T is
// what the owner keeps for each. It is not safe for use by several goroutines at
// once. Retention and ClockBound are set before use.
type Registry[T any] struct {
	// Retention is how long an identity is remembered after its creation. An
	// older identity is refused, since it may have been forgotten.
	Retention time.Duration
	// ClockBound is how far the clocks of callers may differ from ours.
	ClockBound time.Duration

	records map[identifier.Submission]*record[T]
	expiry  []expiring
}

type record[T any] struct {
	digest uint64
	kept   T
}

type expiring struct {
	submission identifier.Submission
	at         time.Time
}

// Verdict is what a Registry says of a submission.
type Verdict uint8

// The verdicts on a submission.
const (
	// Refused comes with a refusal.
	Refused Verdict = iota
	// New means that the submission was admitted now.
	New
	// Joined means that it was admitted before, with the same content.
	Joined
)

// Admit decides on job. For a new submission, open provides what is kept for it.
// The refusal is nil unless the verdict is Refused.
func (b *Registry[T]) Admit(now time.Time, job *describer.Job, digest uint64, open func() T) (T, Verdict, *refuser.Refusal) {
	var none T
	if p, ok := b.records[job.Submission]; ok {
		if p.digest != digest {
			return none, Refused, RefuseReused(job.Submission)
		}
		return p.kept, Joined, nil
	}
	if r := b.checkAge(now, job); r != nil {
		return none, Refused, r
	}
	kept := open()
	b.write(job, digest, kept)
	return kept, New, nil
}

// WithinRetention reports whether an identity created at that time would still be known
// if it had been admitted.
func (b *Registry[T]) WithinRetention(now, created time.Time) bool {
	return now.Before(created.Add(b.Retention))
}

// Find returns what is kept for a submission.
func (b *Registry[T]) Find(s identifier.Submission) (T, bool) {
	p, ok := b.records[s]
	if !ok {
		var none T
		return none, false
	}
	return p.kept, true
}

// Each calls f for each submission that is kept, in no order.
func (b *Registry[T]) Each(f func(identifier.Submission, T)) {
	for s, p := range b.records {
		f(s, p.kept)
	}
}

// Len returns how many submissions are kept.
func (b *Registry[T]) Len() int {
	return len(b.records)
}

// Expire forgets the submissions whose retention is over. An expired identity is
// refused by its age from then on, so forgetting it admits nothing twice.
func (b *Registry[T]) Expire(now time.Time) {
	n := 0
	for n < len(b.expiry) && !now.Before(b.expiry[n].at) {
		delete(b.records, b.expiry[n].submission)
		n++
	}
	b.expiry = b.expiry[n:]
}

func (b *Registry[T]) checkAge(now time.Time, job *describer.Job) *refuser.Refusal {
	if !b.WithinRetention(now, job.Created) {
		return &refuser.Refusal{
			Kind:   refuser.IdentityExpired,
			Detail: "the identity " + job.Submission.String() + " was created more than " + b.Retention.String() + " ago, and whether it ran is no longer known",
			Remedy: "find out whether the work was done; if it was not, submit it under a new identity",
		}
	}
	if job.Created.After(now.Add(b.ClockBound)) {
		return &refuser.Refusal{
			Kind:   refuser.IdentityFromFuture,
			Detail: "the identity " + job.Submission.String() + " was created more than " + b.ClockBound.String() + " in the future",
			Remedy: "correct the caller's clock, or take identities from POST /v1/submission-ids",
			NotRun: true,
		}
	}
	return nil
}

// write keeps a record until no request with its identity can pass checkAge.
func (b *Registry[T]) write(job *describer.Job, digest uint64, kept T) {
	if b.records == nil {
		b.records = make(map[identifier.Submission]*record[T])
	}
	b.records[job.Submission] = &record[T]{digest: digest, kept: kept}
	b.expiry = append(b.expiry, expiring{job.Submission, job.Created.Add(b.Retention)})
}

// RefuseReused refuses an identity that was used for other content.
func RefuseReused(s identifier.Submission) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.IdentityReused,
		Detail: "the identity " + s.String() + " was used before for a job with other content",
		Remedy: "submit other content under an identity of its own",
	}
}
