// Package client submits jobs to an entry over HTTP.
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

// Job is a job to submit.
type Job struct {
	Workspace   string            `json:"workspace"`
	Template    string            `json:"template"`
	Created     *time.Time        `json:"created,omitempty"`
	Urgent      *bool             `json:"urgent,omitempty"`
	NotRepeated bool              `json:"not_to_be_repeated,omitempty"`
	DeadlineMS  int64             `json:"deadline_ms,omitempty"`
	Tasks       []json.RawMessage `json:"tasks"`
}

// Answer is what an entry says of a job.
type Answer struct {
	Workspace string            `json:"workspace"`
	Key       string            `json:"key"`
	Status    string            `json:"status"`
	Results   []json.RawMessage `json:"results,omitempty"`
	Tasks     []Task            `json:"tasks,omitempty"`
}

// Task is what became of a task of a failed job.
type Task struct {
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// Complete reports whether the answer is the whole one.
func (a *Answer) Complete() bool {
	return a.Status == "complete"
}

// RefusedError is a refusal by an entry.
type RefusedError struct {
	Status int    `json:"status"`
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
	NotRun bool   `json:"not_run"`
	// RetryAfter is the entry's advice, in seconds, empty for none.
	RetryAfter string `json:"-"`
}

// Error names the remedy.
func (e *RefusedError) Error() string {
	return e.Kind + ": " + e.Detail + "; " + e.Remedy
}

// Client submits to one entry. It is safe for use by several goroutines at once.
type Client struct {
	base    string
	timeout time.Duration
	http    *client.Client
}

// New returns a client of the entry at addr that gives up a request after
// timeout.
func New(addr netip.AddrPort, timeout time.Duration, connections int) (*Client, error) {
	c, err := requester.New(client.WithMaxConnsPerHost(connections))
	if err != nil {
		return nil, err
	}
	return &Client{"http://" + addr.String(), timeout, c}, nil
}

// Submit sends a job under an identity and returns its answer.
func (c *Client) Submit(ctx context.Context, key string, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode a job")
	}
	return c.do(ctx, consts.MethodPost, "/v1/jobs", key, body)
}

// Get returns what is known of a job.
func (c *Client) Get(ctx context.Context, workspace, key string) (Answer, error) {
	return c.do(ctx, consts.MethodGet, jobPath(workspace, key), "", nil)
}

// Cancel cancels what has not started of a job.
func (c *Client) Cancel(ctx context.Context, workspace, key string) (Answer, error) {
	return c.do(ctx, consts.MethodDelete, jobPath(workspace, key), "", nil)
}

func jobPath(workspace, key string) string {
	return "/v1/jobs/" + url.PathEscape(key) + "?workspace=" + url.QueryEscape(workspace)
}

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

func refusedError(resp *protocol.Response) error {
	e := &RefusedError{Status: resp.StatusCode(), RetryAfter: resp.Header.Get("Retry-After")}
	if err := json.Unmarshal(resp.Body(), e); err != nil {
		e.Kind, e.Detail, e.Remedy = "unknown", "the entry answered with status "+consts.StatusMessage(e.Status), "check that the address is an entry's"
	}
	return e
}
