// Package client is the HTTP client for submitting jobs to an entry.
package client

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/front/requester"
)

// Job is the request body of a submission.
type Job struct {
	Workspace   string            `json:"workspace"`
	Template    string            `json:"template"`
	Created     *time.Time        `json:"created,omitempty"`
	Urgent      *bool             `json:"urgent,omitempty"`
	NotRepeated bool              `json:"not_to_be_repeated,omitempty"`
	DeadlineMS  int64             `json:"deadline_ms,omitempty"`
	Tasks       []json.RawMessage `json:"tasks"`
}

// Answer is the response body about an admitted job: its status, and its results or the
// outcomes of its tasks.
type Answer struct {
	Workspace string            `json:"workspace"`
	Key       string            `json:"key"`
	Status    string            `json:"status"`
	Results   []json.RawMessage `json:"results,omitempty"`
	Tasks     []Task            `json:"tasks,omitempty"`
}

// Task is the outcome of one task of a failed job.
type Task struct {
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// Complete reports whether the answer holds the results of all tasks.
func (a *Answer) Complete() bool {
	return a.Status == "complete"
}

// RefusedError is a refusal returned by an entry.
type RefusedError struct {
	Status int    `json:"status"`
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
	NotRun bool   `json:"not_run"`
	// RetryAfter is the header Retry-After, in seconds, or empty.
	RetryAfter string `json:"-"`
}

// Error returns the kind, the detail and the remedy.
func (e *RefusedError) Error() string {
	return e.Kind + ": " + e.Detail + "; " + e.Remedy
}

// Client submits jobs to one entry. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *client.Client
}

// New returns a client of the entry at addr. Each request fails after timeout, and at most
// connections connections are open at once.
func New(addr netip.AddrPort, timeout time.Duration, connections int) (*Client, error) {
	c, err := requester.New(client.WithMaxConnsPerHost(connections))
	if err != nil {
		return nil, err
	}
	return &Client{"http://" + addr.String(), timeout, c}, nil
}

// Submit submits a job under the identity key and returns the answer.
func (c *Client) Submit(ctx context.Context, key string, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode a job")
	}
	return c.do(ctx, consts.MethodPost, "/v1/jobs", key, body)
}

// Get returns the current status of a job, with its answer if it has one.
func (c *Client) Get(ctx context.Context, workspace, key string) (Answer, error) {
	return c.do(ctx, consts.MethodGet, jobPath(workspace, key), "", nil)
}

// Cancel cancels the tasks of a job that have not been sent to an agent, and returns the
// same as Get.
func (c *Client) Cancel(ctx context.Context, workspace, key string) (Answer, error) {
	return c.do(ctx, consts.MethodDelete, jobPath(workspace, key), "", nil)
}

// jobPath returns the path and query of a job.
func jobPath(workspace, key string) string {
	return "/v1/jobs/" + url.PathEscape(key) + "?workspace=" + url.QueryEscape(workspace)
}

// do sends a request and decodes the answer. A response with an error status is returned as a
// RefusedError.
func (c *Client) do(ctx context.Context, method, path, key string, body []byte) (Answer, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(ctx, req, resp, c.timeout); err != nil {
		return Answer{}, errors.Wrap(err, "no answer from the entry; submit the same identity again")
	}
	if resp.StatusCode() >= consts.StatusBadRequest {
		return Answer{}, refusedError(resp)
	}
	var a Answer
	err := json.Unmarshal(resp.Body(), &a)
	return a, errors.Wrap(err, "decode the entry's answer; check that the address is an entry's")
}

// refusedError returns the error that an error response describes.
func refusedError(resp *protocol.Response) error {
	e := &RefusedError{Status: resp.StatusCode(), RetryAfter: resp.Header.Get("Retry-After")}
	if err := json.Unmarshal(resp.Body(), e); err != nil {
		e.Kind, e.Detail, e.Remedy = "unknown", "the entry answered with status "+consts.StatusMessage(e.Status), "check that the address is an entry's"
	}
	return e
}
