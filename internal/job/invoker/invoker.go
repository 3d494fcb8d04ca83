// Package invoker runs tasks on a backend server, over HTTP on the same machine. It sends
// each request once, without retries at any layer below it.
package invoker

import (
	"context"
	"crypto/tls"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/front/requester"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// The headers that identify the task to a backend server.
const (
	HeaderSubmission = "Dandeliongrade-Submission"
	HeaderTask       = "Dandeliongrade-Task"
	// HeaderNotRepeated is "true" when the caller marked the job as not to be
	// repeated.
	HeaderNotRepeated = "Dandeliongrade-Not-Repeated"
)

// dialTimeout limits the wait for a connection on the same machine.
const dialTimeout = time.Second

// maxResultSize is the maximum size of a backend server's response body, in bytes. All
// results of a job must fit into one frame of a link.
const maxResultSize = 60 << 10

// ErrUnreachable reports that no connection to the backend server could be made. The
// task was certainly not started.
var ErrUnreachable = errors.New("the backend server accepts no connection; check that it runs on the machine of its agent")

// Invoker runs tasks on one backend server. It is safe for concurrent use.
type Invoker struct {
	baseURL string
	client  *client.Client
}

// New returns an invoker for the backend server at addr that uses at most the given
// number of connections.
func New(addr netip.AddrPort, connections int) (*Invoker, error) {
	c, err := requester.New(
		client.WithDialer(dialer{standard.NewDialer()}),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(connections),
	)
	if err != nil {
		return nil, err
	}
	return &Invoker{"http://" + addr.String(), c}, nil
}

// Invoke runs one task. An error is always ErrUnreachable, which means that the task was
// not started; every other failure is a result.
func (i *Invoker) Invoke(ctx context.Context, m *starter.Start) (describer.Result, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI(i.baseURL + m.Path)
	req.Header.Set(HeaderSubmission, m.Task.Submission.String())
	req.Header.Set(HeaderTask, strconv.Itoa(m.Task.Index))
	req.Header.Set(HeaderNotRepeated, strconv.FormatBool(m.NotRepeated))
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBodyRaw(m.Input)
	err := i.client.DoTimeout(ctx, req, resp, m.Timeout)
	if errors.Is(err, ErrUnreachable) {
		return describer.Result{}, ErrUnreachable
	}
	if errors.Is(err, hertzerrors.ErrTimeout) {
		return describer.Result{Outcome: describer.MayHaveRun, Detail: "the backend server gave no answer in " + m.Timeout.String()}, nil
	}
	if err != nil {
		return describer.Result{Outcome: describer.MayHaveRun, Detail: "the backend server cut the connection: " + err.Error()}, nil
	}
	return readResult(resp), nil
}

func readResult(resp *protocol.Response) describer.Result {
	body := resp.Body()
	if status := resp.StatusCode(); status != consts.StatusOK {
		return describer.Result{Outcome: describer.Failed, Detail: "the backend server answered with status " + strconv.Itoa(status)}
	}
	if len(body) > maxResultSize {
		return describer.Result{Outcome: describer.Failed, Detail: "the backend server's answer is over " + strconv.Itoa(maxResultSize) + " bytes"}
	}
	return describer.Result{Outcome: describer.Succeeded, Body: append([]byte(nil), body...)}
}

// dialer maps failures to connect, before any request is sent, to ErrUnreachable.
type dialer struct {
	network.Dialer
}

// DialConnection connects to the backend server. It returns ErrUnreachable if that
// fails.
func (d dialer) DialConnection(kind, address string, timeout time.Duration, cfg *tls.Config) (conn network.Conn, err error) {
	conn, err = d.Dialer.DialConnection(kind, address, timeout, cfg)
	if err != nil {
		return nil, ErrUnreachable
	}
	return conn, nil
}
