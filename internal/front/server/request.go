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

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// HeaderIdentity is the header that carries the identity of a job, which the caller chooses.
const HeaderIdentity = "Idempotency-Key"

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Workspace string `json:"workspace"`
	Template  string `json:"template"`
	// Created is when the identity was created. It is required unless the identity is a
	// UUIDv7.
	Created *time.Time `json:"created"`
	// Urgent defaults to that of the template.
	Urgent      *bool `json:"urgent"`
	NotRepeated bool  `json:"not_to_be_repeated"`
	// DeadlineMS is how long the caller waits, in milliseconds. It defaults to the deadline
	// of the template.
	DeadlineMS *int64            `json:"deadline_ms"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// readJob parses a request and returns its job, or a refusal. With a refusal that depends on
// the current configuration, the returned job has its identity set, so that the caller can
// look up whether the job was admitted earlier.
func (s *Server) readJob(rc *app.RequestContext) (describer.Job, *refuser.Refusal) {
	var job describer.Job
	var in jobRequest
	if r := decodeJSON(rc.Request.Body(), &in); r != nil {
		return job, r
	}
	if r := readIdentity(string(rc.GetHeader(HeaderIdentity)), &in, &job); r != nil {
		return job, r
	}
	if r := readTasks(&in, &job); r != nil {
		return job, r
	}
	t, r := s.findTemplate(&in)
	if r != nil {
		return job, r
	}
	job.Template = in.Template
	job.Path = t.Path
	job.Urgent = t.Urgent
	job.NotRepeated = in.NotRepeated
	job.Budget = t.Deadline
	job.Timeout = t.Timeout
	if r := readUrgency(&in, &job); r != nil {
		return job, r
	}
	return job, readDeadline(&in, &job)
}

// findTemplate checks a job against the configured workspaces and templates, and returns its
// template.
func (s *Server) findTemplate(in *jobRequest) (*loader.Template, *refuser.Refusal) {
	w := s.Workspaces[in.Workspace]
	if w == nil {
		return nil, unknownWorkspace(in.Workspace)
	}
	if len(in.Tasks) > w.MaxTasks {
		return nil, &refuser.Refusal{
			Kind:   refuser.TooManyTasks,
			Detail: fmt.Sprintf("the job has %d tasks, and the workspace may send %d", len(in.Tasks), w.MaxTasks),
			Remedy: "split the job",
		}
	}
	t := s.Templates[in.Template]
	if t == nil {
		return nil, &refuser.Refusal{
			Kind:   refuser.UnknownTemplate,
			Detail: "there is no template " + strconv.Quote(in.Template),
			Remedy: "use a declared template, or have this one declared",
		}
	}
	return t, nil
}

// readTasks sets the inputs of the job.
func readTasks(in *jobRequest, job *describer.Job) *refuser.Refusal {
	if len(in.Tasks) == 0 {
		return badRequest("tasks is empty", "give at least one task")
	}
	job.Inputs = make([][]byte, len(in.Tasks))
	for i, task := range in.Tasks {
		job.Inputs[i] = task
	}
	return nil
}

// decodeJSON decodes a request body into v. It refuses unknown fields and data after the
// first JSON value.
func decodeJSON(body []byte, v any) *refuser.Refusal {
	if len(body) > listener.MaxBodyBytes {
		return &refuser.Refusal{
			Kind:   refuser.TooLarge,
			Detail: fmt.Sprintf("the body has %d bytes, and %d is the limit", len(body), listener.MaxBodyBytes),
			Remedy: "split the job, or send smaller inputs",
			NotRun: true,
		}
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, more := dec.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("there is more after the object")
		}
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		err = errors.Errorf("a %s cannot stand at byte %d, in %q", typeErr.Value, typeErr.Offset, typeErr.Field)
	}
	if err != nil {
		return badRequest("the body is not a job: "+err.Error(), "send one JSON object as GET /v1/openapi.json describes it")
	}
	return nil
}

// readUrgency sets the urgency of the job. A request can lower the urgency of the template,
// but not raise it.
func readUrgency(in *jobRequest, job *describer.Job) *refuser.Refusal {
	if in.Urgent == nil {
		return nil
	}
	if *in.Urgent && !job.Urgent {
		return notAllowed("the template "+strconv.Quote(in.Template)+" is not urgent", "use an urgent template, or leave urgent out")
	}
	job.Urgent = *in.Urgent
	return nil
}

// readDeadline sets the deadline of the job. A request can shorten the deadline of the
// template, but not extend it.
func readDeadline(in *jobRequest, job *describer.Job) *refuser.Refusal {
	if in.DeadlineMS == nil {
		return nil
	}
	maxMS := job.Budget.Milliseconds()
	if *in.DeadlineMS < 1 || *in.DeadlineMS > maxMS {
		return notAllowed(fmt.Sprintf("deadline_ms is %d", *in.DeadlineMS), fmt.Sprintf("choose from 1 to %d, or leave it out", maxMS))
	}
	job.Budget = time.Duration(*in.DeadlineMS) * time.Millisecond
	return nil
}

// readIdentity sets the identity of the job and its creation time. For a UUIDv7, that is the
// timestamp in it.
func readIdentity(key string, in *jobRequest, job *describer.Job) *refuser.Refusal {
	if key == "" || len(key) > identifier.MaxKeyLength {
		return badRequest(HeaderIdentity+" is missing or too long",
			fmt.Sprintf("send an identity of 1 to %d bytes that stays the same when the job is submitted again", identifier.MaxKeyLength))
	}
	job.Submission = identifier.Submission{Workspace: in.Workspace, Key: key}
	created, ok := identifier.KeyTime(key)
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

// notAllowed returns the refusal of a job that the current configuration does not allow. Since
// an earlier configuration may have allowed it, the refusal does not state that nothing was
// run.
func notAllowed(detail, remedy string) *refuser.Refusal {
	return &refuser.Refusal{Kind: refuser.NotAllowed, Detail: detail, Remedy: remedy}
}

// unknownWorkspace returns the refusal of a job whose workspace is not configured.
func unknownWorkspace(name string) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.UnknownWorkspace,
		Detail: "there is no workspace " + strconv.Quote(name),
		Remedy: "use a declared workspace, or have this one declared",
	}
}
