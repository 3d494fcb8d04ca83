package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// HeaderIdentity is the header with the identity that a caller gives to a job.
const HeaderIdentity = "Idempotency-Key"

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Workspace string `json:"workspace"`
	Template  string `json:"template"`
	// Created is needed when the identity is not a UUIDv7.
	Created *time.Time `json:"created"`
	// Urgent is the template's when it is absent.
	Urgent      *bool `json:"urgent"`
	NotRepeated bool  `json:"not_to_be_repeated"`
	// DeadlineMS is how long the caller waits, in milliseconds.
	DeadlineMS *int64            `json:"deadline_ms"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// readJob returns the job that a request describes, or why it is refused.
func (s *Server) readJob(rc *app.RequestContext) (describer.Job, *refuser.Refusal) {
	var in jobRequest
	if r := decode(rc.Request.Body(), &in); r != nil {
		return describer.Job{}, r
	}
	t := s.Templates[in.Template]
	w := s.Workspaces[in.Workspace]
	switch {
	case w == nil:
		return describer.Job{}, unknownWorkspace(in.Workspace)
	case t == nil:
		return describer.Job{}, &refuser.Refusal{
			Kind:   refuser.UnknownTemplate,
			Detail: "there is no template " + strconv.Quote(in.Template),
			Remedy: "use a declared template, or have this one declared",
			NotRun: true,
		}
	case len(in.Tasks) == 0:
		return describer.Job{}, badRequest("tasks is empty", "give at least one task")
	case len(in.Tasks) > w.MaxTasks:
		return describer.Job{}, &refuser.Refusal{
			Kind:   refuser.TooManyTasks,
			Detail: fmt.Sprintf("the job has %d tasks, and the workspace may send %d", len(in.Tasks), w.MaxTasks),
			Remedy: "split the job",
			NotRun: true,
		}
	}
	job := describer.Job{
		Template:    in.Template,
		Path:        t.Path,
		Urgent:      t.Urgent,
		NotRepeated: in.NotRepeated,
		Budget:      t.Deadline,
		Timeout:     t.Timeout,
		Inputs:      make([][]byte, len(in.Tasks)),
	}
	for i, task := range in.Tasks {
		job.Inputs[i] = task
	}
	if r := readUrgency(&in, &job); r != nil {
		return job, r
	}
	if r := readDeadline(&in, &job); r != nil {
		return job, r
	}
	return job, readIdentity(string(rc.GetHeader(HeaderIdentity)), &in, &job)
}

// decode reads one JSON value and nothing after it.
func decode(body []byte, to any) *refuser.Refusal {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(to)
	if err == nil {
		if _, more := dec.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("there is more after the object")
		}
	}
	if err != nil {
		return badRequest("the body is not a job: "+err.Error(), "send one JSON object as GET /v1/openapi.json describes it")
	}
	return nil
}

// readUrgency lets a job be less urgent than its template, and never more.
func readUrgency(in *jobRequest, job *describer.Job) *refuser.Refusal {
	if in.Urgent == nil {
		return nil
	}
	if *in.Urgent && !job.Urgent {
		return badRequest("the template "+strconv.Quote(in.Template)+" is not urgent", "use an urgent template, or leave urgent out")
	}
	job.Urgent = *in.Urgent
	return nil
}

// readDeadline lets a caller wait less than the template says, and never longer.
func readDeadline(in *jobRequest, job *describer.Job) *refuser.Refusal {
	if in.DeadlineMS == nil {
		return nil
	}
	most := job.Budget.Milliseconds()
	if *in.DeadlineMS < 1 || *in.DeadlineMS > most {
		return badRequest(fmt.Sprintf("deadline_ms is %d", *in.DeadlineMS), fmt.Sprintf("choose from 1 to %d, or leave it out", most))
	}
	job.Budget = time.Duration(*in.DeadlineMS) * time.Millisecond
	return nil
}

func readIdentity(key string, in *jobRequest, job *describer.Job) *refuser.Refusal {
	if key == "" || len(key) > identifier.MaxKeyLength {
		return badRequest(HeaderIdentity+" is missing or too long",
			fmt.Sprintf("send an identity of 1 to %d bytes that stays the same when the job is submitted again", identifier.MaxKeyLength))
	}
	job.Submission = identifier.Submission{Workspace: in.Workspace, Key: key}
	created, ok := identifier.Created(key)
	switch {
	case ok:
		job.Created = created
	case in.Created != nil:
		job.Created = in.Created.Truncate(time.Millisecond)
	default:
		return badRequest("created is missing, and the identity is not a UUIDv7",
			"send created, the same at each submission, or take identities from POST /v1/submission-ids")
	}
	return nil
}

func unknownWorkspace(name string) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.UnknownWorkspace,
		Detail: "there is no workspace " + strconv.Quote(name),
		Remedy: "use a declared workspace, or have this one declared",
		NotRun: true,
	}
}
