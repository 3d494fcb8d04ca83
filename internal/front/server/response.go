package server

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// The states of a job as callers see them.
const (
	statusComplete = "complete"
	statusFailed   = "failed"
	statusRunning  = "running"
)

// jobBody is what callers get about a job that was admitted.
type jobBody struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Status    string `json:"status"`
	// Results stands only in a complete answer: one for each task, in order.
	Results []json.RawMessage `json:"results,omitempty"`
	// Tasks stands only in a failed answer: what became of each task, in order.
	Tasks []taskBody `json:"tasks,omitempty"`
}

type taskBody struct {
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

type idsBody struct {
	Keys []string `json:"keys"`
}

// problem is an error as in RFC 9457, with members of our own.
type problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail"`
	Kind   refuser.Kind `json:"kind"`
	Remedy string       `json:"remedy"`
	NotRun bool         `json:"not_run"`
}

var statusCodes = map[refuser.Kind]int{
	refuser.BadRequest:         consts.StatusBadRequest,
	refuser.NotAllowed:         consts.StatusUnprocessableEntity,
	refuser.TooLarge:           consts.StatusRequestEntityTooLarge,
	refuser.TooManyTasks:       consts.StatusUnprocessableEntity,
	refuser.UnknownTemplate:    consts.StatusUnprocessableEntity,
	refuser.UnknownWorkspace:   consts.StatusUnprocessableEntity,
	refuser.UnknownJob:         consts.StatusNotFound,
	refuser.IdentityReused:     consts.StatusConflict,
	refuser.IdentityExpired:    consts.StatusGone,
	refuser.IdentityFromFuture: consts.StatusUnprocessableEntity,
	refuser.Overloaded:         consts.StatusServiceUnavailable,
	refuser.NoOwner:            consts.StatusServiceUnavailable,
	refuser.Uncertain:          consts.StatusGatewayTimeout,
}

func writeAnswer(rc *app.RequestContext, s identifier.Submission, a describer.Answer) {
	if a.Refusal != nil {
		writeRefusal(rc, a.Refusal)
		return
	}
	body := jobBody{Workspace: s.Workspace, Key: s.Key, Status: statusFailed}
	if a.Complete {
		body.Status = statusComplete
		body.Results = make([]json.RawMessage, len(a.Results))
		for i, r := range a.Results {
			body.Results[i] = rawJSON(r.Body)
		}
	} else {
		body.Tasks = make([]taskBody, len(a.Results))
		for i, r := range a.Results {
			body.Tasks[i] = taskBody{r.Outcome.String(), r.Detail}
		}
	}
	rc.JSON(consts.StatusOK, body)
}

func writeRunning(rc *app.RequestContext, s identifier.Submission) {
	rc.JSON(consts.StatusAccepted, jobBody{Workspace: s.Workspace, Key: s.Key, Status: statusRunning})
}

// rawJSON returns a backend server's answer as it is when it is JSON, else as a
// string.
func rawJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

func writeRefusal(rc *app.RequestContext, r *refuser.Refusal) {
	status, ok := statusCodes[r.Kind]
	if !ok {
		status = consts.StatusInternalServerError
	}
	writeProblem(rc, status, r)
}

func writeProblem(rc *app.RequestContext, status int, r *refuser.Refusal) {
	if r.RetryAfter > 0 {
		rc.Header("Retry-After", retryAfter(r.RetryAfter))
	}
	rc.JSON(status, problem{
		Type:   "urn:dandeliongrade:problem:" + string(r.Kind),
		Title:  consts.StatusMessage(status),
		Status: status,
		Detail: r.Detail,
		Kind:   r.Kind,
		Remedy: r.Remedy,
		NotRun: r.NotRun,
	})
	rc.SetContentType("application/problem+json")
}
