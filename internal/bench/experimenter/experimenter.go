package experimenter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/front/client"
)

// progressPause is the time between two lines of progress.
const progressPause = 5 * time.Second

// answerGrace is how much longer than its deadline a job's answer is awaited.
const answerGrace = 5 * time.Second

// Run puts the load on the cell and returns what was measured. Progress goes to w.
func Run(ctx context.Context, p *Plan, clock identifier.Clock, w io.Writer) (*Report, error) {
	clients, err := p.dial()
	if err != nil {
		return nil, err
	}
	before, err := p.scrape(ctx)
	if err != nil {
		return nil, err
	}
	arrivals := p.arrivals()
	outcomes := make(chan outcome, len(arrivals))
	begun := clock()
	go p.send(ctx, clock, begun, clients, arrivals, outcomes)
	r := newReport(p)
	ticker := time.NewTicker(progressPause)
	defer ticker.Stop()
	for n := 0; n < len(arrivals); {
		select {
		case o := <-outcomes:
			n++
			r.add(o)
		case <-ticker.C:
			fmt.Fprintf(w, "%s: %d of %d jobs answered\n", clock().Sub(begun).Round(time.Second), n, len(arrivals))
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "the load was stopped; start it again")
		}
	}
	after, err := p.scrape(ctx)
	if err != nil {
		return nil, err
	}
	r.finish(after.since(before))
	return r, nil
}

// outcome is how one job ended.
type outcome struct {
	arrival *arrival
	latency time.Duration
	answer  client.Answer
	err     error
}

func (p *Plan) dial() ([]*client.Client, error) {
	var clients []*client.Client
	for _, name := range slices.Sorted(maps.Keys(p.Callers)) {
		c, err := client.New(p.Callers[name], p.Deadline+answerGrace, maxConnections)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// maxConnections bounds the open requests to one entry.
const maxConnections = 10_000

// send sends each job at its time, by a task of its own that reports on outcomes.
func (p *Plan) send(ctx context.Context, clock identifier.Clock, begun time.Time, clients []*client.Client, arrivals []arrival, outcomes chan<- outcome) {
	for i := range arrivals {
		a := &arrivals[i]
		due := begun.Add(a.at)
		timer := time.NewTimer(due.Sub(clock()))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		c := clients[i%len(clients)]
		go func() {
			answer, err := p.submit(ctx, clock, c, a)
			outcomes <- outcome{a, clock().Sub(due), answer, err}
		}()
	}
}

func (p *Plan) submit(ctx context.Context, clock identifier.Clock, c *client.Client, a *arrival) (client.Answer, error) {
	key, err := identifier.NewKey(clock())
	if err != nil {
		return client.Answer{}, err
	}
	job := client.Job{Workspace: p.Workspace, Template: p.LongTemplate, DeadlineMS: p.Deadline.Milliseconds()}
	if a.urgent {
		job.Template = p.UrgentTemplate
	}
	for _, body := range a.body {
		job.Tasks = append(job.Tasks, json.RawMessage(body))
	}
	return c.Submit(ctx, key, job)
}

// addresses returns the values in the order of their names.
func addresses(ports map[string]netip.AddrPort) []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(ports)) {
		all = append(all, ports[name])
	}
	return all
}
