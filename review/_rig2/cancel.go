package main

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the site.
const (
	resendPause  = 1300 * time.Millisecond // resend_ms
	cancelBound  = 3000 * time.Millisecond // cancel_ms
	stopBound    = 50 * time.Millisecond   // stop_ms
	stableWindow = 3000 * time.Millisecond // stable_window_ms
	// slack is for the clocks and the record of this rig.
	slack = 200 * time.Millisecond
)

// playCancel submits a job at the gateway that the balancer picks for the client, and cancels it there.
// With trouble, the gateway's process is killed while it runs the job, and started again. The client
// submits the job again, to the other gateway, and cancels it on a new channel, which the balancer
// forwards to the first gateway again.
func playCancel(c *cell, trouble bool) (bool, error) {
	const id, taskTime, limit = "5c0e7a21d94b36f8", 8 * time.Second, 15 * time.Second
	if err := c.startAll(2, [][]string{{"a"}, {"a"}, {"b"}}); err != nil {
		return false, err
	}
	first, other := c.gateways[0], c.gateways[1]
	body := jobBody(1, taskTime, "")
	submitted := make(chan answer, 1)
	go func() { submitted <- c.call(first, "POST", id, body, limit) }()
	if !c.awaitStart(id, 2*time.Second) {
		return false, fmt.Errorf("%w: the job has not started", errCannotRun)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		c.note("trouble: %s is killed, and started again half a second later", first.name)
		c.kill(first)
		broken := <-submitted
		if broken.err == nil {
			return false, fmt.Errorf("%w: the channel was not broken", errCannotRun)
		}
		time.Sleep(500 * time.Millisecond)
		if err := c.start(first); err != nil {
			return false, err
		}
		restarted := time.Now()
		time.Sleep(time.Until(broken.at.Add(resendPause)))
		go func() { submitted <- c.call(other, "POST", id, body, limit) }()
		if !c.awaitStart(id, 2*time.Second) {
			return false, fmt.Errorf("%w: the job has not started again", errCannotRun)
		}
		// The first gateway is in touch again before it gets the cancel.
		time.Sleep(time.Until(restarted.Add(stableWindow + slack)))
		if !c.ready(first) {
			return false, fmt.Errorf("%w: %s is not ready again", errCannotRun, first.name)
		}
		c.note("%s has run for %s and answers the status check with 200", first.name, stableWindow+slack)
	}
	cancelled := c.call(first, "DELETE", id, nil, limit)
	if cancelled.err != nil || cancelled.status/100 != 2 && cancelled.status != 410 {
		return false, fmt.Errorf("%w: the cancel was not acknowledged", errCannotRun)
	}
	time.Sleep(time.Until(cancelled.at.Add(cancelBound + stopBound + slack)))
	running := c.runningNow(id)
	c.note("%s after the cancel was acknowledged, running: [%s]", time.Since(cancelled.at).Round(time.Millisecond), strings.Join(running, "; "))
	final := <-submitted
	c.note("the submission ended with: %s", final)
	for _, e := range c.events(id) {
		if e.event == "end" && e.at.Sub(dayTime(cancelled.at)) > cancelBound+stopBound+slack {
			c.note("%s of %s ended %s after the acknowledgement: %s", e.run, e.task, e.at.Sub(dayTime(cancelled.at)).Round(time.Millisecond), e.extra)
		}
	}
	if len(running) > 0 {
		c.note("BROKEN: UNASKED: a task of the job runs on %s after its cancelling was acknowledged", cancelBound+stopBound)
		return false, nil
	}
	c.note("HELD")
	return true, nil
}

// dayTime returns t as a time of the record, which has no date.
func dayTime(t time.Time) time.Time {
	d, _ := time.ParseInLocation("15:04:05.000", stamp(t), time.Local)
	return d
}
