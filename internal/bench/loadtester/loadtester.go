package loadtester

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

// progressInterval is the time between two lines of progress.
const progressInterval = 5 * time.Second

// answerGrace is how much longer than the deadline of a job a client waits for the answer.
const answerGrace = 5 * time.Second

// Run runs the load test that cfg describes and returns its report. It writes progress to w.
func Run(ctx context.Context, cfg *Config, clock identifier.Clock, w io.Writer) (*Report, error) {
	clients, err := cfg.newClients()
	if err != nil {
		return nil, err
	}
	before, err := cfg.scrape(ctx)
	if err != nil {
		return nil, err
	}
	arrivals := cfg.arrivals()
	outcomes := make(chan outcome, len(arrivals))
	start := clock()
	go cfg.submitJobs(ctx, clock, start, clients, arrivals, outcomes)
	r := newReport(cfg)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for n := 0; n < len(arrivals); {
		select {
		case o := <-outcomes:
			n++
			r.add(o)
		case <-ticker.C:
			fmt.Fprintf(w, "%s: %d of %d jobs answered\n", clock().Sub(start).Round(time.Second), n, len(arrivals))
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "the load test was stopped; start it again")
		}
	}
	after, err := cfg.scrape(ctx)
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

// newClients returns a client for each entry, in the order of their names.
func (cfg *Config) newClients() ([]*client.Client, error) {
	var clients []*client.Client
	for _, name := range slices.Sorted(maps.Keys(cfg.CallerAddrs)) {
		c, err := client.New(cfg.CallerAddrs[name], cfg.Deadline+answerGrace, maxConnections)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// maxConnections bounds the connections to one entry, and so the requests in flight.
const maxConnections = 10_000

// submitJobs submits each job at its time, in a goroutine of its own that reports to
// outcomes. It stops when ctx ends.
func (cfg *Config) submitJobs(ctx context.Context, clock identifier.Clock, start time.Time, clients []*client.Client, arrivals []arrival, outcomes chan<- outcome) {
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(a.at)
		timer := time.NewTimer(due.Sub(clock()))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		c := clients[i%len(clients)]
		go func() {
			answer, err := cfg.submit(ctx, clock, c, a)
			outcomes <- outcome{a, clock().Sub(due), answer, err}
		}()
	}
}

// submit submits one job with a new key and waits for its answer.
func (cfg *Config) submit(ctx context.Context, clock identifier.Clock, c *client.Client, a *arrival) (client.Answer, error) {
	key, err := identifier.NewKey(clock())
	if err != nil {
		return client.Answer{}, err
	}
	job := client.Job{Workspace: cfg.Workspace, Template: cfg.LongTemplate, DeadlineMS: cfg.Deadline.Milliseconds()}
	if a.urgent {
		job.Template = cfg.UrgentTemplate
	}
	for _, input := range a.inputs {
		job.Tasks = append(job.Tasks, json.RawMessage(input))
	}
	return c.Submit(ctx, key, job)
}

// sortedAddrs returns the addresses in the order of their names.
func sortedAddrs(addrs map[string]netip.AddrPort) []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		all = append(all, addrs[name])
	}
	return all
}
