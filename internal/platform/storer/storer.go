// Package keeper speaks with the platform's table service and object store. Both
// are reached over HTTP; the protocol is that of the stand-in in package faker,
// until the users' own is known.
package storer

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

// Record is a row of the table. Its version is one at its creation and rises with
// each write.
type Record struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
	// Token names the transaction that wrote it.
	Token string `json:"token"`
}

// Write changes a record on the condition that it has the version Expect, which
// is zero for a record that must not exist. A write without a value deletes.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Expect uint64          `json:"expect"`
}

// Transaction is a set of writes of which all take effect, or none.
type Transaction struct {
	// Token is unique, so that the writer can recognize its own write when the
	// reply is lost.
	Token  string  `json:"token"`
	Writes []Write `json:"writes"`
}

// ErrNotFound reports a record or object that does not exist.
var ErrNotFound = errors.New("no such record in the table service")

// ErrConflict reports a transaction of which nothing took effect, because a
// record had another version.
var ErrConflict = errors.New("a record has changed; read it again and decide anew")

// NoAnswerError reports a request without an answer. A write may have taken
// effect: read it back.
type NoAnswerError struct {
	Cause error
}

// Error names the remedy.
func (e *NoAnswerError) Error() string {
	return "the table service does not answer: " + e.Cause.Error() + "; running owners go on, check the service"
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// Client is a client of both services. It is safe for use by several goroutines
// at once.
type Client struct {
	base    string
	timeout time.Duration
	http    *client.Client
}

// New returns a client of the service at addr, which gives up a request after
// timeout.
func New(addr netip.AddrPort, timeout time.Duration) (*Client, error) {
	c, err := requester.New(client.WithDialTimeout(timeout))
	if err != nil {
		return nil, err
	}
	return &Client{base: "http://" + addr.String(), timeout: timeout, http: c}, nil
}

// Get reads one record.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := c.do(ctx, consts.MethodGet, "/v1/table/record?key="+url.QueryEscape(key), nil, &r)
	return r, err
}

// Scan reads the records whose keys begin with prefix, in the order of the keys.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Record, error) {
	var rs []Record
	err := c.do(ctx, consts.MethodGet, "/v1/table/records?prefix="+url.QueryEscape(prefix), nil, &rs)
	return rs, err
}

// Transact carries out t. After an UnavailableError it may have taken effect.
func (c *Client) Transact(ctx context.Context, t Transaction) error {
	return c.do(ctx, consts.MethodPost, "/v1/table/transactions", t, nil)
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, value json.RawMessage) error {
	return c.do(ctx, consts.MethodPost, "/v1/objects/"+url.PathEscape(name), value, nil)
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) (json.RawMessage, error) {
	var value json.RawMessage
	err := c.do(ctx, consts.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &value)
	return value, err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode a request to the table service")
		}
		req.SetBody(b)
		req.Header.SetContentTypeBytes([]byte("application/json"))
	}
	if err := c.http.DoTimeout(ctx, req, resp, c.timeout); err != nil {
		return &NoAnswerError{err}
	}
	return read(resp, out)
}

func read(resp *protocol.Response, out any) error {
	switch status := resp.StatusCode(); {
	case status == consts.StatusNotFound:
		return ErrNotFound
	case status == consts.StatusConflict:
		return ErrConflict
	case status >= consts.StatusInternalServerError:
		return &NoAnswerError{errors.Errorf("status %d", status)}
	case status >= consts.StatusBadRequest:
		return errors.Errorf("the table service refused the request with status %d: %s", status, resp.Body())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return &NoAnswerError{errors.Wrap(err, "decode the reply")}
	}
	return nil
}
