// Package admitter decides whether a submission is new, joins an admitted one, or is
// refused. It makes resubmissions idempotent: of several requests with the same
// identity only the first is admitted, and all of them get its answer.
package admitter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Registry holds the identities that the owner of a partition has admitted, with a value
// of type T for each. It is not safe for concurrent use. Retention and ClockBound must
// be set before use.
type Registry[T any] struct {
	// Retention is how long an identity is kept after its creation. An older
	// identity is refused, since its record may have been removed.
	Retention time.Duration
	// ClockBound is the maximum difference between the clocks of callers and ours.
	ClockBound time.Duration

	records map[identifier.Submission]*record[T]
	expiry  []expiryEntry
}

type record[T any] struct {
	digest uint64
	value  T
}

type expiryEntry struct {
	submission identifier.Submission
	at         time.Time
}

// Verdict is the decision on a submission.
type Verdict uint8

// The verdicts on a submission.
const (
	// Refused means that the submission is not admitted; the refusal says why.
	Refused Verdict = iota
	// New means that the submission is admitted now.
	New
	// Joined means that the submission was admitted before, with the same content.
	Joined
)

// Admit decides on a job and returns the value kept for it. For a new submission, it
// calls create to get the value. The refusal is nil unless the verdict is Refused.
func (r *Registry[T]) Admit(now time.Time, job *describer.Job, digest uint64, create func() T) (T, Verdict, *refuser.Refusal) {
	var zero T
	if rec, ok := r.records[job.Submission]; ok {
		if rec.digest != digest {
			return zero, Refused, RefuseReused(job.Submission)
		}
		return rec.value, Joined, nil
	}
	if refusal := r.checkAge(now, job); refusal != nil {
		return zero, Refused, refusal
	}
	value := create()
	r.add(job, digest, value)
	return value, New, nil
}

// WithinRetention reports whether an identity created at that time would still be in the
// registry if it had been admitted.
func (r *Registry[T]) WithinRetention(now, created time.Time) bool {
	return now.Before(created.Add(r.Retention))
}

// Find returns the value kept for a submission.
func (r *Registry[T]) Find(s identifier.Submission) (T, bool) {
	rec, ok := r.records[s]
	if !ok {
		var zero T
		return zero, false
	}
	return rec.value, true
}

// Each calls f for each submission in the registry, in no particular order.
func (r *Registry[T]) Each(f func(identifier.Submission, T)) {
	for s, rec := range r.records {
		f(s, rec.value)
	}
}

// Len returns the number of submissions in the registry.
func (r *Registry[T]) Len() int {
	return len(r.records)
}

// Expire removes the submissions whose retention is over. From then on their identities
// are refused because of their age, so that no submission is admitted twice.
func (r *Registry[T]) Expire(now time.Time) {
	n := 0
	for n < len(r.expiry) && !now.Before(r.expiry[n].at) {
		delete(r.records, r.expiry[n].submission)
		n++
	}
	r.expiry = r.expiry[n:]
}

func (r *Registry[T]) checkAge(now time.Time, job *describer.Job) *refuser.Refusal {
	if !r.WithinRetention(now, job.Created) {
		return &refuser.Refusal{
			Kind:   refuser.IdentityExpired,
			Detail: "the identity " + job.Submission.String() + " was created more than " + r.Retention.String() + " ago, and whether it ran is no longer known",
			Remedy: "find out whether the work was done; if it was not, submit it under a new identity",
		}
	}
	if job.Created.After(now.Add(r.ClockBound)) {
		return &refuser.Refusal{
			Kind:   refuser.IdentityFromFuture,
			Detail: "the identity " + job.Submission.String() + " was created more than " + r.ClockBound.String() + " in the future",
			Remedy: "correct the caller's clock, or take identities from POST /v1/submission-ids",
			NotRun: true,
		}
	}
	return nil
}

// add adds a record that expires once checkAge refuses its identity.
func (r *Registry[T]) add(job *describer.Job, digest uint64, value T) {
	if r.records == nil {
		r.records = make(map[identifier.Submission]*record[T])
	}
	r.records[job.Submission] = &record[T]{digest: digest, value: value}
	r.expiry = append(r.expiry, expiryEntry{job.Submission, job.Created.Add(r.Retention)})
}

// RefuseReused returns the refusal of an identity that was used for other content.
func RefuseReused(s identifier.Submission) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.IdentityReused,
		Detail: "the identity " + s.String() + " was used before for a job with other content",
		Remedy: "submit other content under an identity of its own",
	}
}
