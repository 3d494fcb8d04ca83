package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// State is the state of a job as callers see it.
type State uint8

// The states of a job.
const (
	// Unknown means that the gateway has no such job.
	Unknown State = iota
	// Running means that the job has no answer yet.
	Running
	// Completed means that all tasks have succeeded.
	Completed
	// Failed means that a task has used all attempts that its queue allows.
	Failed
	// Cancelled means that a caller cancelled it.
	Cancelled
	// NotRun means that no task was started and none will be, so that the job can be
	// submitted again safely.
	NotRun
	// Unfinished means that the job was given up before all its tasks were done, because
	// its deadline passed, its caller left, or the gateway stopped or was paused. Tasks may
	// have run.
	Unfinished
)

var states = [...]string{"unknown", "running", "completed", "failed", "cancelled", "not_run", "unfinished"}

// String returns the name of s in answers, logs and metrics.
func (s State) String() string {
	return states[s]
}

// Answer is the result that the caller of a job receives.
type Answer struct {
	State State
	// RetryAfter is how long the caller should wait before it submits the job again. It
	// is set for NotRun only.
	RetryAfter time.Duration
}

// Effect is an action for the process to carry out: a Send, SendGateway, CloseLink, Reply, LogEvent,
// ClaimEvent or PassOn.
type Effect interface{ effect() }

// Send sends a message to an agent.
type Send struct {
	To      identifier.Agent
	Message any
}

// SendGateway sends a message to a gateway, which may be this one.
type SendGateway struct {
	To      identifier.Entry
	Message any
}

// CloseLink closes the link to an agent.
type CloseLink struct {
	To identifier.Agent
	// Cause is the reason, as it is logged.
	Cause string
}

// Reply answers the caller of a job.
type Reply struct {
	Job    specifier.JobID
	Answer Answer
	// Cause is the reason for the answer, as it is logged.
	Cause string
	// Took is the time from the arrival of the job to the answer.
	Took time.Duration
	// PlacedAfter is the time from the arrival of the job to its last start.
	PlacedAfter time.Duration
	// Claim is the state of the claim on the job, as it is logged, and ClaimedAfter the time from the
	// arrival of the job until its tasks were allowed to start.
	Claim        string
	ClaimedAfter time.Duration
	// Starts is the number of starts that were sent for the job. Lost is the number of
	// runs that ended without success and were not stopped with the job.
	Starts, Lost int
	// Refusal says on what a refusal of the limiter rests.
	Refusal Refusal
}

// Refusal is what the limiter knew when it refused a job. It is zero for other answers.
type Refusal struct {
	// Wait is the expected wait of the job, Backlog the CPU time of what waits in the cell, and Rate the
	// CPU time that is started in each second.
	Wait, Backlog, Rate time.Duration
	// BacklogAge is the age of what is known of the backlog of other gateways. It is zero if that
	// backlog is not known.
	BacklogAge time.Duration
	// FreeCapacity is set if a worker had the capacity for a task of the job, but could not be given one.
	FreeCapacity bool
}

// The names of logged events.
const (
	EventRunLost        = "run_lost"
	EventWorkerStalled  = "worker_stalled"
	EventRefusedInError = "refused_in_error"
	// EventRunMoved names a run that is stopped and started elsewhere, because its worker leaves.
	EventRunMoved = "run_moved"
	// EventTaskBlamed names a task that crashes workers. Its cause is the queue, which is
	// confined until EventQueueReleased.
	EventTaskBlamed    = "task_blamed"
	EventQueueReleased = "queue_released"
	// EventClaimContested names a job that another gateway may be running.
	EventClaimContested = "claim_contested"
	// EventClaimUnanswered names a job with a claim that an arbiter has not answered in time. Others are asked, or its tasks
	// are started without an answer.
	EventClaimUnanswered = "claim_unanswered"
)

// CauseConnectionClosed is the cause of an answer that is given because the caller was found to have
// closed its connection when a task was to be started or a permit granted. It goes to nobody.
const CauseConnectionClosed = "connection_closed"

// CauseRecalled is the cause of an answer that is given because the job was submitted to another gateway
// later. Its caller has most likely left.
const CauseRecalled = "submitted_elsewhere"

// CauseDeadline is the cause of an answer that is given because the caller stops waiting.
const CauseDeadline = "deadline"

const (
	// causeCrashes is the cause of the answer of a job with a task that crashes workers.
	causeCrashes = "workers_crashed"
	// causeEvacuated is the cause of the answer of a job whose workers are all in evacuated data
	// centres.
	causeEvacuated = "evacuated"
	// causeCancelled is the cause of the answer of a job that a caller has cancelled.
	causeCancelled = "cancelled"
	// causeConfined is the cause of an answer that is given because the queue of the job is
	// confined to workers that cannot run it in time.
	causeConfined = "queue_confined"
)

// LogEvent is a decision to be logged.
type LogEvent struct {
	// Name is one of the event names.
	Name  string
	Run   executor.RunID
	Agent identifier.Agent
	Cause string
	// SinceHeard is the time since the last message of the agent.
	SinceHeard time.Duration
	// Ground is why a lost run is taken as over, and PermitAge the time since the last permit to its
	// agent. They are set for EventRunLost only.
	Ground    Ground
	PermitAge time.Duration
}

// ClaimEvent is what has become of the claim on a job, to be logged.
type ClaimEvent struct {
	// Name is EventClaimContested or EventClaimUnanswered.
	Name    string
	Job     specifier.JobID
	Arbiter identifier.Entry
	// State is the state of the claim after that.
	State string
}

// PassOn sends a report to all gateways that are linked, unless every agent is linked to all.
type PassOn struct {
	Report *quarantiner.Report
}

func (Send) effect()        {}
func (SendGateway) effect() {}
func (CloseLink) effect()   {}
func (Reply) effect()       {}
func (LogEvent) effect()    {}
func (ClaimEvent) effect()  {}
func (PassOn) effect()      {}
