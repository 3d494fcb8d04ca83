package main

import (
	"fmt"
	"time"
)

// playLateCopy submits a job and cancels it at the same gateway, which answers both calls with 200. With
// trouble, a copy of the submission arrives at another gateway some seconds later.
func playLateCopy(c *cell, trouble bool) (bool, error) {
	const (
		id       = "5c0e7a21d94b36f8"
		taskTime = 2 * time.Second
		limit    = 15 * time.Second
		// lateBy is the "seconds after the 2xx response" of the copy.
		lateBy = 5 * time.Second
	)
	if err := c.startAll(2, [][]string{{"a"}, {"a"}, {"b"}}); err != nil {
		return false, err
	}
	body := jobBody(2, taskTime, "")
	submitted := make(chan answer, 1)
	go func() { submitted <- c.call(c.gateways[0], "POST", id, body, limit) }()
	if !c.awaitStart(id, 2*time.Second) {
		return false, fmt.Errorf("%w: the job has not started", errCannotRun)
	}
	time.Sleep(300 * time.Millisecond)
	cancelled := c.call(c.gateways[0], "DELETE", id, nil, limit)
	first := <-submitted
	if cancelled.status != 200 || first.status != 200 {
		return false, fmt.Errorf("%w: the cancel and the submission were not both answered with 200", errCannotRun)
	}
	time.Sleep(time.Until(first.at.Add(lateBy)))
	if trouble {
		c.note("trouble: a copy of the submission arrives at the other gateway %s after the 200 for it", lateBy)
		c.call(c.gateways[1], "POST", id, body, limit)
	}
	time.Sleep(time.Second)
	kept := true
	for _, e := range c.events(id) {
		if after := e.at.Sub(dayTime(cancelled.at)); e.event == "start" && after > cancelBound+slack {
			c.note("BROKEN: UNASKED: %s run %s was started on %s %s after the job's cancelling was acknowledged", e.task, e.run, e.worker, after.Round(time.Millisecond))
			kept = false
		}
	}
	if kept {
		c.note("HELD")
	}
	return kept, nil
}
