package arbiter

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Claim asks the arbiter of a job for the right to start its tasks. It is answered with a Grant,
// or with a Contested and a Grant later. A claim that is sent again has the same number.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job specifier.JobID
	// Number numbers the claims of one incarnation of a gateway. They are microseconds by its
	// clock or more, so that of two gateways' claims on a job the later one has the higher number.
	Number uint64
	// Validity is how long the job can have runs at the claimant, from when the claim is sent.
	Validity time.Duration
	// Renewal is set if the claimant may have started tasks already, with the consent of an earlier
	// arbiter or because that one did not answer.
	Renewal bool
}

// Grant allows the claimant to start the tasks of a job: no other gateway has runs of it that the
// arbiter knows of.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Number uint64
}

// Contested tells the claimant of a job that another gateway may have runs of it. A Grant follows
// when these have ended.
type Contested struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Number uint64
}

// Recall tells a gateway that its claim is void, because the job was submitted to another one
// later. It ends the job and answers with a Yield.
type Recall struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Number uint64
}

// Yield tells the arbiter that the gateway has no runs of the job, and starts none under the claim.
type Yield struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Number uint64
}

// Cancel asks a gateway to cancel a job, and to remember that for the copies of its submission. An
// arbiter of the job passes it on to the gateways that may have the job. Each answers the asker with a
// canceller.Outcome.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job specifier.JobID
	// Number numbers the cancels of the asker. It is zero if no answer is wanted.
	Number uint64
	// Asker is the gateway whose caller cancels the job.
	Asker identifier.Entry
	// Direct is set if the Cancel is not to be passed on.
	Direct bool
	// Age is how long ago the job was cancelled. The cancel is forgotten by that, however often it is sent.
	Age time.Duration
}

// Cancelled answers the claim on a job that was cancelled. None of its tasks may be started.
type Cancelled struct {
	_msgpack struct{} `msgpack:",as_array"`

	Job    specifier.JobID
	Number uint64
}
