// Package requester makes the HTTP clients of all roles alike: none repeats a POST by
// itself. Whatever starts a task or writes a record is a POST.
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
// The other side may have begun to act when a connection ends: started a task, or
// written to the table. Whoever sends decides on a repetition. Methods that HTTP holds
// to be idempotent, such as GET and DELETE, the library repeats when a pooled
// connection turns out to be closed, and that cannot be switched off.
func New(options ...config.ClientOption) (*client.Client, error) {
	all := append([]config.ClientOption{client.WithDialer(standard.NewDialer())}, options...)
	c, err := client.NewClient(all...)
	if err != nil {
		return nil, errors.Wrap(err, "make an HTTP client")
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return c, nil
}
