// Package demonstrator runs a whole cell inside one process, submits a job to it and prints
// the outcome with a few measurements. No process of the system starts another one, so the
// roles run as goroutines, connected over real sockets.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/front/client"
)

// The workspace and the template of the job.
const (
	Workspace = "nails_and_tacks"
	Template  = "stock_lookup"
)

// readyTimeout bounds the wait until every entry serves jobs.
const readyTimeout = 10 * time.Second

// retryInterval is the wait between two attempts of AwaitReady at an entry.
const retryInterval = 20 * time.Millisecond

// Summary holds the measurements of a job that was submitted twice.
type Summary struct {
	// Tasks is the number of tasks of the job.
	Tasks int
	// Elapsed is how long the first submission took, and IdealElapsed how long its tasks would
	// have taken on idle workers.
	Elapsed      time.Duration
	IdealElapsed time.Duration
	// RepeatElapsed is how long the second submission took.
	RepeatElapsed time.Duration
	// StartedTasks counts the tasks that were started, and StartedTwice those that were
	// started more than once. Both include the jobs of AwaitReady.
	StartedTasks int
	StartedTwice int
	// Reads and Writes count the operations of the table service.
	Reads  uint64
	Writes uint64
	// Complete is whether all tasks succeeded and both submissions got the same answer.
	Complete bool
}

// SubmitTwice submits a job of n tasks to the first entry of the cell and again, under the same
// key, to the last entry, and measures both.
func (c *Cell) SubmitTwice(ctx context.Context, n int) (Summary, error) {
	s := Summary{Tasks: n}
	if err := c.AwaitReady(ctx); err != nil {
		return s, err
	}
	key, err := identifier.NewKey(c.cfg.Clock())
	if err != nil {
		return s, err
	}
	job := client.Job{Workspace: Workspace, Template: Template}
	for i := range n {
		job.Tasks = append(job.Tasks, json.RawMessage(fmt.Sprintf(`{"keg": %d}`, i)))
	}
	first, elapsed, err := c.submitTimed(ctx, 0, key, job)
	if err != nil {
		return s, err
	}
	second, repeatElapsed, err := c.submitTimed(ctx, len(c.CallerAddrs)-1, key, job)
	if err != nil {
		return s, err
	}
	s.Elapsed, s.RepeatElapsed = elapsed, repeatElapsed
	s.Complete = first.Complete() && len(first.Results) == n && equalAnswers(first, second)
	s.IdealElapsed = idealElapsed(first.Results, c.cfg.Agents*c.cfg.Agent.Slots)
	s.StartedTasks, s.StartedTwice = c.CountStartedTasks()
	s.Reads, s.Writes = c.Store.Traffic()
	return s, nil
}

// submitTimed submits a job to one entry and returns the answer and how long it took.
func (c *Cell) submitTimed(ctx context.Context, entry int, key string, job client.Job) (client.Answer, time.Duration, error) {
	caller, err := client.New(c.CallerAddrs[entry], time.Minute, 1)
	if err != nil {
		return client.Answer{}, 0, err
	}
	start := c.cfg.Clock()
	a, err := caller.Submit(ctx, key, job)
	return a, c.cfg.Clock().Sub(start), err
}

// AwaitReady waits until every entry answers a job of one task.
func (c *Cell) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range c.CallerAddrs {
		if err := c.awaitEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// awaitEntry submits jobs of one task to an entry until one succeeds.
func (c *Cell) awaitEntry(ctx context.Context, i int) error {
	job := client.Job{Workspace: Workspace, Template: Template, Tasks: []json.RawMessage{json.RawMessage(`{"run_ms": 0}`)}}
	for {
		key, err := identifier.NewKey(c.cfg.Clock())
		if err != nil {
			return err
		}
		a, _, err := c.submitTimed(ctx, i, key, job)
		if err == nil && a.Complete() {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return errors.Errorf("entry %d did not serve within %s: %v; see the log", i+1, readyTimeout, err)
		}
	}
}

// CountStartedTasks returns the number of tasks that the backend servers have started, and how
// many of these were started more than once.
func (c *Cell) CountStartedTasks() (started, twice int) {
	starts := make(map[string]int)
	for _, b := range c.Backends {
		for task, n := range b.Log().Starts {
			starts[task] += n
		}
	}
	for _, n := range starts {
		if n > 1 {
			twice++
		}
	}
	return len(starts), twice
}

// equalAnswers reports whether two answers have the same status and the same results in the same
// order.
func equalAnswers(a, b client.Answer) bool {
	if a.Status != b.Status || len(a.Results) != len(b.Results) {
		return false
	}
	for i := range a.Results {
		if string(a.Results[i]) != string(b.Results[i]) {
			return false
		}
	}
	return true
}

// idealElapsed returns how long the runs would take on idle workers: their total run time spread
// evenly over the slots, but at least the longest run time.
func idealElapsed(results []json.RawMessage, slots int) time.Duration {
	var sum, longest time.Duration
	for _, r := range results {
		var run struct {
			RunMS int64 `json:"run_ms"`
		}
		_ = json.Unmarshal(r, &run)
		d := time.Duration(run.RunMS) * time.Millisecond
		sum += d
		longest = max(longest, d)
	}
	return max(sum/time.Duration(slots), longest)
}

// Print writes the summary as text.
func (s *Summary) Print(w io.Writer) {
	status := "FAILED"
	if s.Complete {
		status = "complete"
	}
	fmt.Fprintf(w, "answer:          %s, %d tasks in the order they were sent\n", status, s.Tasks)
	fmt.Fprintf(w, "time:            %d ms; the ideal is %d ms, the slowdown %.2f\n",
		s.Elapsed.Milliseconds(), s.IdealElapsed.Milliseconds(), float64(s.Elapsed)/float64(max(s.IdealElapsed, time.Millisecond)))
	fmt.Fprintf(w, "submitted again: the same answer in %.1f ms, through another entry\n", float64(s.RepeatElapsed)/float64(time.Millisecond))
	fmt.Fprintf(w, "starts:          %d tasks started, %d of them twice\n", s.StartedTasks, s.StartedTwice)
	fmt.Fprintf(w, "table service:   %d reads, %d writes\n", s.Reads, s.Writes)
}
