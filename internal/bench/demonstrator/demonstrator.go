// Package demonstrator runs a whole cell inside one process, submits a job to it,
// and shows the answer and the measures. A process of the system starts no other,
// so the roles are tasks here; the sockets between them are real.
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

// The workspace and the template of the demonstration.
const (
	Workspace = "nails_and_tacks"
	Template  = "stock_lookup"
)

// readyWait bounds the wait until the cell serves.
const readyWait = 10 * time.Second

// readyPause is the wait between two tries.
const readyPause = 20 * time.Millisecond

// Summary is what a demonstration measured.
type Summary struct {
	Tasks         int
	Elapsed       time.Duration
	IdealElapsed  time.Duration
	RepeatElapsed time.Duration
	StartedTasks  int
	StartedTwice  int
	Reads         uint64
	Writes        uint64
	Complete      bool
}

// SubmitTwice sends a job of n tasks to the cell's first entry, and once more to the
// last, and measures both.
func (c *Cell) SubmitTwice(ctx context.Context, n int) (Summary, error) {
	s := Summary{Tasks: n}
	if err := c.AwaitReady(ctx); err != nil {
		return s, err
	}
	key, err := identifier.NewKey(c.plan.Clock())
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
	second, again, err := c.submitTimed(ctx, len(c.CallerAddrs)-1, key, job)
	if err != nil {
		return s, err
	}
	s.Elapsed, s.RepeatElapsed = elapsed, again
	s.Complete = first.Complete() && len(first.Results) == n && same(first, second)
	s.IdealElapsed = ideal(first.Results, c.plan.Agents*c.plan.Agent.Slots)
	s.StartedTasks, s.StartedTwice = c.CountStartedTasks()
	s.Reads, s.Writes = c.Store.Traffic()
	return s, nil
}

func (c *Cell) submitTimed(ctx context.Context, entry int, key string, job client.Job) (client.Answer, time.Duration, error) {
	h, err := client.New(c.CallerAddrs[entry], time.Minute, 1)
	if err != nil {
		return client.Answer{}, 0, err
	}
	begun := c.plan.Clock()
	a, err := h.Submit(ctx, key, job)
	return a, c.plan.Clock().Sub(begun), err
}

// AwaitReady waits until every entry answers a job of one task.
func (c *Cell) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for i := range c.CallerAddrs {
		if err := c.awaitEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) awaitEntry(ctx context.Context, i int) error {
	job := client.Job{Workspace: Workspace, Template: Template, Tasks: []json.RawMessage{json.RawMessage(`{"run_ms": 0}`)}}
	for {
		key, err := identifier.NewKey(c.plan.Clock())
		if err != nil {
			return err
		}
		a, _, err := c.submitTimed(ctx, i, key, job)
		if err == nil && a.Complete() {
			return nil
		}
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return errors.Errorf("entry %d did not serve within %s: %v; look at the log", i+1, readyWait, err)
		}
	}
}

// CountStartedTasks returns how many tasks the backend servers have started, and how many of
// them more than once.
func (c *Cell) CountStartedTasks() (started, twice int) {
	total := make(map[string]int)
	for _, b := range c.Backends {
		for task, n := range b.Log().Starts {
			total[task] += n
		}
	}
	for _, n := range total {
		if n > 1 {
			twice++
		}
	}
	return len(total), twice
}

func same(a, b client.Answer) bool {
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

// ideal is the time that the runs would take on empty workers: all of them shared
// evenly among the slots, and no less than the longest.
func ideal(results []json.RawMessage, slots int) time.Duration {
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

// Print writes the summary for a person.
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
