// Package refuser defines the refusals that a caller can receive. A refusal has a kind
// for programs, a detail for people, a remedy that says what to do next, and a statement
// on whether anything may have been run.
package refuser

import (
	"time"
)

// Kind is the cause of a refusal, in snake case.
type Kind string

// The kinds of refusal.
const (
	BadRequest         Kind = "bad_request"
	NotAllowed         Kind = "not_allowed"
	TooLarge           Kind = "too_large"
	TooManyTasks       Kind = "too_many_tasks"
	UnknownTemplate    Kind = "unknown_template"
	UnknownWorkspace   Kind = "unknown_workspace"
	UnknownJob         Kind = "unknown_job"
	IdentityReused     Kind = "identity_reused"
	IdentityExpired    Kind = "identity_expired"
	IdentityFromFuture Kind = "identity_from_future"
	Overloaded         Kind = "overloaded"
	NoOwner            Kind = "no_owner"
	Uncertain          Kind = "uncertain"
)

// Refusal says why a request was not served. The zero value is no refusal.
type Refusal struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind   Kind
	Detail string
	Remedy string
	// NotRun guarantees that no task of the submission had been started by any request
	// when the refusal was made, and that this request starts none. Only the owner of
	// the partition can know that, unless the request contains no valid submission.
	NotRun bool
	// RetryAfter is how long to wait before the next attempt. Zero means no advice.
	RetryAfter time.Duration
}

// Error returns the kind, the detail and the remedy.
func (r *Refusal) Error() string {
	return string(r.Kind) + ": " + r.Detail + "; " + r.Remedy
}
