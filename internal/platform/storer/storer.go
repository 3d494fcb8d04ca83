// Package storer is the client of the platform's table service and object store, over
// HTTP. The protocol is that of the stand-in in package faker, until that of the users'
// platform is known.
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

// Record is a row of the table.
type Record struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Version is one after the creation of the record, and rises by one with each write.
	Version uint64 `json:"version"`
	// Token identifies the transaction that wrote the record last.
	Token string `json:"token"`
}

// Write changes a record if its version is Expect. Zero means that the record must not
// exist. A write without a value deletes the record.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Expect uint64          `json:"expect"`
}

// Transaction is a set of writes that take effect all together, or not at all.
type Transaction struct {
	// Token is unique, so that the writer can recognize its own write if the reply is
	// lost.
	Token  string  `json:"token"`
	Writes []Write `json:"writes"`
}

// ErrNotFound means that the record or object does not exist.
var ErrNotFound = errors.New("no such record in the table service")

// ErrConflict means that a transaction had no effect, because a record had another
// version than expected.
var ErrConflict = errors.New("a record has changed; read it again and decide anew")

// NoAnswerError reports a request without a valid answer, or with a status of 500 or
// more. A write may have taken effect: read it back.
type NoAnswerError struct {
	Cause error
}

// Error returns the cause and a remedy.
func (e *NoAnswerError) Error() string {
	return "the table service does not answer: " + e.Cause.Error() + "; running owners continue; check the service"
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

// Client is a client of both services. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *client.Client
}

// New returns a client of the services at addr. The timeout is that of each request.
func New(addr netip.AddrPort, timeout time.Duration) (*Client, error) {
	c, err := requester.New(client.WithDialTimeout(timeout))
	if err != nil {
		return nil, err
	}
	return &Client{baseURL: "http://" + addr.String(), timeout: timeout, http: c}, nil
}

// Get returns one record, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := c.do(ctx, consts.MethodGet, "/v1/table/record?key="+url.QueryEscape(key), nil, &r)
	return r, err
}

// Scan returns the records whose keys have a prefix, sorted by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Record, error) {
	var rs []Record
	err := c.do(ctx, consts.MethodGet, "/v1/table/records?prefix="+url.QueryEscape(prefix), nil, &rs)
	return rs, err
}

// Transact applies t as a whole, or returns ErrConflict. After a NoAnswerError t may have
// taken effect.
func (c *Client) Transact(ctx context.Context, t Transaction) error {
	return c.do(ctx, consts.MethodPost, "/v1/table/transactions", t, nil)
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, value json.RawMessage) error {
	return c.do(ctx, consts.MethodPost, "/v1/objects/"+url.PathEscape(name), value, nil)
}

// GetObject returns an object, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) (json.RawMessage, error) {
	var value json.RawMessage
	err := c.do(ctx, consts.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &value)
	return value, err
}

// do sends a request with the JSON encoding of in, and decodes the answer into out. Either
// may be nil.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
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
	return decodeResponse(resp, out)
}

// decodeResponse decodes a successful response into out, unless that is nil. It returns
// the error that any other response stands for.
func decodeResponse(resp *protocol.Response, out any) error {
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
