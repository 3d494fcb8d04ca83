package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Submit asks the owner of a partition to admit a job and to reply with its answer.
type Submit struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Sequence identifies the request among those of the sending entry.
	Sequence uint64
	Job      describer.Job
}

// Inquire asks the owner of a partition for the state of a job, and cancels the job
// if Cancel is set.
type Inquire struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence   uint64
	Submission identifier.Submission
	// Created is the creation time of the identity, or zero if it is unknown.
	Created time.Time
	Cancel  bool
}

// Reply is the reply to a Submit or an Inquire.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	// Moved means that this entry does not own the partition; the request must go
	// to its current owner.
	Moved bool
	// Running means that the job has no answer yet. It is set only in replies to
	// an Inquire.
	Running bool
	Answer  describer.Answer
}

// RequestID identifies a request by the entry that sent it and its sequence number.
type RequestID struct {
	Entry    identifier.Entry
	Sequence uint64
}

// Effect is an action that the owner requests: a Respond or a Send.
type Effect interface {
	effect()
}

// Respond sends a reply to one request.
type Respond struct {
	To    RequestID
	Reply Reply
}

// Send sends a message to an agent.
type Send struct {
	Agent   identifier.Agent
	Message any
}

func (Respond) effect() {}
func (Send) effect()    {}
