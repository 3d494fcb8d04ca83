package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Submit asks the owner of a partition to admit a job and to answer it.
type Submit struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Sequence names this request among those of the asking entry.
	Sequence uint64
	Job      describer.Job
}

// Inquire asks the owner of a partition about a job, and may cancel it.
type Inquire struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence   uint64
	Submission identifier.Submission
	// Created is when the identity was made, zero when that is not known.
	Created time.Time
	Cancel  bool
}

// Reply answers a Submit or an Inquire.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	// Moved means that the partition has another owner, who must be asked.
	Moved bool
	// Running means that the job has no answer yet.
	Running bool
	Answer  describer.Answer
}

// RequestID names who waits for a reply.
type RequestID struct {
	Entry    identifier.Entry
	Sequence uint64
}

// Effect is something that the owner wants done: a Tell or a Send.
type Effect interface {
	effect()
}

// Respond is a reply to one request.
type Respond struct {
	To    RequestID
	Reply Reply
}

// Send is a message to an agent.
type Send struct {
	Agent   identifier.Agent
	Message any
}

func (Respond) effect() {}
func (Send) effect()    {}
