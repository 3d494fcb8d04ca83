package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// drainBound is drain_ms of the site.
const drainBound = 2000 * time.Millisecond

// playDrain makes a worker drain while jobs come. With trouble, another writer has sent a status report of
// that worker before, in which the field labels is missing.
func playDrain(c *cell, trouble bool) (bool, error) {
	const taskTime, limit, pause = 170 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond
	if err := c.startAll(2, [][]string{{"a", "r1-0"}, {"a", "r1-0"}, {"b", "r1-0"}}); err != nil {
		return false, err
	}
	cfg := c.workerConfigs[0]
	if trouble {
		born, err := c.bornOf(cfg.ID)
		if err != nil {
			return false, err
		}
		report := cfg.status(born, time.Now().UnixMilli()-born, "ready", uint64(time.Now().UnixMilli()))
		delete(report, "labels")
		c.note("trouble: another writer sends a report of %s without labels, numbered by the clock", cfg.ID)
		c.note("the sidecar answers it with %d", cfg.putStatus(report))
	}
	// The worker sends two more reports of its own meanwhile.
	time.Sleep(2*reportInterval + slack)
	c.note("%s is told to drain", cfg.ID)
	_ = c.workers[0].cmd.Process.Signal(syscall.SIGUSR1)
	var ids []string
	answers := make(chan answer)
	for began := time.Now(); time.Since(began) < drainBound+2*time.Second; time.Sleep(pause) {
		id := fmt.Sprintf("%016x", 0xd0000000+len(ids))
		ids = append(ids, id)
		go func() { answers <- c.call(c.gateways[len(ids)%2], "POST", id, jobBody(4, taskTime, ""), limit) }()
	}
	for range ids {
		<-answers
	}
	acknowledged, err := c.drainAcknowledged(cfg.ID)
	if err != nil {
		return false, err
	}
	late := 0
	for _, id := range ids {
		for _, e := range c.events(id) {
			if after := e.at.Sub(acknowledged); e.event == "start" && e.worker == cfg.ID && after > drainBound+slack {
				late++
				if late <= 3 {
					c.note("%s run %s was started on %s %s after it was acknowledged that the worker is draining", e.task, e.run, e.worker, after.Round(time.Millisecond))
				}
			}
		}
	}
	if late > 0 {
		c.note("BROKEN: DRAIN: %d tasks were started on the worker later than %s after the acknowledgement", late, drainBound)
		return false, nil
	}
	c.note("HELD")
	return true, nil
}

// bornOf returns the start of a worker, in Unix milliseconds, from the record.
func (c *cell) bornOf(worker string) (int64, error) {
	line, err := c.recordLine("worker="+worker, "event=boot")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(line, "born=")
	return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
}

// drainAcknowledged returns when a worker recorded that its draining was acknowledged.
func (c *cell) drainAcknowledged(worker string) (time.Time, error) {
	line, err := c.recordLine("worker="+worker, "event=drain-acknowledged")
	if err != nil {
		return time.Time{}, err
	}
	return time.ParseInLocation("15:04:05.000", strings.Fields(line)[0], time.Local)
}

// recordLine returns the first line of the record that has all words.
func (c *cell) recordLine(words ...string) (string, error) {
	b, err := os.ReadFile(c.recordFile)
	if err != nil {
		return "", err
	}
lines:
	for _, line := range strings.Split(string(b), "\n") {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue lines
			}
		}
		return line, nil
	}
	return "", fmt.Errorf("%w: the record lacks %v", errCannotRun, words)
}
