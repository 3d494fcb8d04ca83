package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// playLabel submits jobs that require the label b. With trouble, a side machine freezes for a moment, and
// its worker crashes meanwhile and starts again as kind a, under its id and address. That is repeated on one of the
// machines after the other, up to sixteen times, until the rule is broken.
func playLabel(c *cell, trouble bool) (bool, error) {
	const (
		taskTime = 500 * time.Millisecond
		limit    = 5 * time.Second
		tasks    = 6
		// downtime is how long the worker is down, freeze how long the machine stands still.
		downtime = 150 * time.Millisecond
		freeze   = 380 * time.Millisecond
		rounds   = 16
		// lead is how long before the machine wakes the job is sent.
		lead = 100 * time.Millisecond
	)
	labels := make([][]string, 10)
	for i := range labels {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		labels[i] = []string{kind, fmt.Sprintf("r1-%d", i/3)}
	}
	if err := c.startAll(2, labels); err != nil {
		return false, err
	}
	victims := []int{2, 5, 8}
	for round := range rounds {
		victim := victims[round%len(victims)]
		id := fmt.Sprintf("00000000000000b%x", round)
		before := c.call(c.gateways[0], "POST", "f"+id[1:], jobBody(tasks, taskTime, "b"), limit)
		if before.status != 200 {
			return false, fmt.Errorf("%w: the job before the trouble was not served", errCannotRun)
		}
		time.Sleep(time.Second)
		sidecar := c.sidecars[victim]
		if trouble {
			c.note("trouble: %s freezes for %s; its worker crashes, and starts again as kind a after %s", sidecar.name, freeze, downtime)
			frozen := time.Now()
			_ = sidecar.cmd.Process.Signal(syscall.SIGSTOP)
			c.kill(c.workers[victim])
			time.Sleep(downtime)
			c.workerConfigs[victim].Labels = []string{"a", c.workerConfigs[victim].Labels[1]}
			if err := c.startWorker(victim); err != nil {
				return false, err
			}
			time.Sleep(time.Until(frozen.Add(freeze - lead)))
		}
		served := make(chan answer, 1)
		go func() { served <- c.call(c.gateways[0], "POST", id, jobBody(tasks, taskTime, "b"), limit) }()
		if trouble {
			time.Sleep(lead)
			_ = sidecar.cmd.Process.Signal(syscall.SIGCONT)
			c.note("%s wakes", sidecar.name)
		}
		<-served
		time.Sleep(500 * time.Millisecond)
		kept := true
		for _, e := range c.events(id) {
			if e.event == "start" && !strings.Contains(e.extra, "labels=b,") {
				c.note("BROKEN: ROUTE: %s run %s was started on %s, without the label b that its step requires", e.task, e.run, e.worker)
				kept = false
			}
		}
		if !kept {
			return false, nil
		}
		if trouble && round >= len(victims)-1 {
			// The next worker becomes kind b again.
			next := victims[(round+1)%len(victims)]
			c.kill(c.workers[next])
			c.workerConfigs[next].Labels[0] = "b"
			if err := c.startWorker(next); err != nil {
				return false, err
			}
			time.Sleep(2 * reportInterval)
		}
	}
	c.note("HELD")
	return true, nil
}
