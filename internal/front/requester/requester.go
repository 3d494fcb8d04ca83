// Package requester provides the HTTP client of all roles. It never retries a POST by itself;
// every request that starts a task or writes a record is a POST.
package requester

import (
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// New returns a client that sends each POST at most once.
//
// When a connection ends before the response, the server may already have acted on the
// request: started a task, or written a record. Only the caller can decide whether to send it
// again. The library retries idempotent methods, such as GET and DELETE, when a pooled
// connection turns out to be closed; this cannot be turned off.
func New(options ...config.ClientOption) (*client.Client, error) {
	all := append([]config.ClientOption{client.WithDialer(standard.NewDialer())}, options...)
	c, err := client.NewClient(all...)
	if err != nil {
		return nil, errors.Wrap(err, "make an HTTP client")
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return c, nil
}
