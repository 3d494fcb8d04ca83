package server

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// The statuses of a job in responses.
const (
	statusComplete = "complete"
	statusFailed   = "failed"
	statusRunning  = "running"
)

// jobBody is the response body about an admitted job.
type jobBody struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Status    string `json:"status"`
	// Results is set only for a complete job: one for each task, in order.
	Results []json.RawMessage `json:"results,omitempty"`
	// Tasks is set only for a failed job: the outcome of each task, in order.
	Tasks []taskBody `json:"tasks,omitempty"`
}

// taskBody is the outcome of one task of a failed job.
type taskBody struct {
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// idsBody is the response body with new identities.
type idsBody struct {
	Keys []string `json:"keys"`
}

// problem is an error body as defined by RFC 9457. Kind, Remedy and NotRun are extension
// members.
type problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail"`
	Kind   refuser.Kind `json:"kind"`
	Remedy string       `json:"remedy"`
	NotRun bool         `json:"not_run"`
}

// statusCodes holds the HTTP status code of each kind of refusal.
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

// writeAnswer writes the answer of a job, or its refusal.
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

// writeRunning writes that a job is still running.
func writeRunning(rc *app.RequestContext, s identifier.Submission) {
	rc.JSON(consts.StatusAccepted, jobBody{Workspace: s.Workspace, Key: s.Key, Status: statusRunning})
}

// rawJSON returns the body of a backend server's response as it is if it is valid JSON, and
// otherwise as a JSON string.
func rawJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

// writeRefusal writes a refusal with the status code of its kind.
func writeRefusal(rc *app.RequestContext, r *refuser.Refusal) {
	status, ok := statusCodes[r.Kind]
	if !ok {
		status = consts.StatusInternalServerError
	}
	writeProblem(rc, status, r)
}

// writeProblem writes a refusal with the given status code.
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
