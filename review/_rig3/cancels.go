package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// The bounds of a small deployment.
const (
	cancelBound  = 3 * time.Second
	stableWindow = 3 * time.Second
	ackBound     = 4 * time.Second
)

// acknowledged returns when a cancel was acknowledged, or an error if it was not.
func acknowledged(a answer) (time.Time, error) {
	if a.err != nil || a.status != http.StatusGone && a.status/100 != 2 {
		return time.Time{}, fmt.Errorf("the cancel was not acknowledged: status %d, %v", a.status, a.err)
	}
	return a.at, nil
}

// judgeStarts reports whether tasks of a job were started later than the bound after the acknowledgement of its
// cancel, and no sooner than from.
func judgeStarts(c *cell, job string, acked, from time.Time) bool {
	after := acked.Add(cancelBound)
	if from.After(after) {
		after = from
	}
	late := c.obs.startsAfter(job, after)
	for _, r := range late {
		c.rec.logf("%s was started %.3f s after the cancel was acknowledged; the bound is %s", r.task, r.started.Sub(acked).Seconds(), cancelBound)
	}
	return len(late) > 0
}

// cancelAllKilled: jobs are cancelled, and the cancels acknowledged. All gateways are killed and start again. A copy
// of each submission arrives seconds later.
func cancelAllKilled(rec *record, program, dir string, trouble bool) (bool, error) {
	c, err := startCell(rec, program, dir, config{gateways: 3, sidecars: 3, cpu: 16000, runTime: 760 * time.Millisecond})
	defer c.close()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const jobs = 3
	acked := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		g := c.gateways[i%len(c.gateways)]
		posted := c.submit(g, id, 4, 1600, 760*time.Millisecond, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		at, err := acknowledged(c.call(g, http.MethodDelete, id, nil, 5*time.Second))
		if err != nil {
			return false, err
		}
		acked[id] = at
		<-posted
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		for _, g := range c.gateways {
			c.kill(g.process)
		}
		time.Sleep(300 * time.Millisecond)
		for _, g := range c.gateways {
			if err := c.start(g.process); err != nil {
				return false, err
			}
		}
	}
	started := time.Now()
	if err := c.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	inTouch := started.Add(stableWindow + 500*time.Millisecond)
	time.Sleep(time.Until(inTouch.Add(time.Second)))
	i := 0
	for id := range acked {
		<-c.submit(c.gateways[i%len(c.gateways)], id, 4, 1600, 760*time.Millisecond, 5*time.Second)
		i++
	}
	broken := false
	for id, at := range acked {
		broken = judgeStarts(c, id, at, inTouch) || broken
	}
	return broken, nil
}

// cutGateway cuts a gateway off from the others and from the store, or joins it again.
func (c *cell) cutGateway(on bool, g *gatewayInfo) {
	for _, other := range c.gateways {
		if other != g {
			c.proxies.cut(on, g.name, other.name)
		}
	}
	c.proxies.cut(on, g.name, "store")
}

// cancelDuringCut: a job is at one gateway, and its cancel arrives at another one, which is cut off from the other
// gateways and from the store for as long as the job takes.
func cancelDuringCut(rec *record, program, dir string, trouble bool) (bool, error) {
	return cancelAtCutGateway(rec, program, dir, trouble, cutCase{gateways: 3, rounds: 1, cancelAfter: 500 * time.Millisecond, length: 5500 * time.Millisecond})
}

// cancelBeforeHeal is cancelDuringCut with a cut that is over before the bound on cancels. It is played several times,
// because the outcome depends on the order in which the gateways are linked again.
func cancelBeforeHeal(rec *record, program, dir string, trouble bool) (bool, error) {
	return cancelAtCutGateway(rec, program, dir, trouble, cutCase{gateways: 4, rounds: 4, cancelAfter: 1500 * time.Millisecond, length: 2500 * time.Millisecond})
}

// cutCase describes a case with a gateway that is cut off.
type cutCase struct {
	gateways, rounds int
	// cancelAfter is when the cancel is sent, and length when the cut ends, from the beginning of the cut.
	cancelAfter, length time.Duration
}

// cancelAtCutGateway cuts a gateway off, submits a job to another one, and cancels it at the first one.
func cancelAtCutGateway(rec *record, program, dir string, trouble bool, p cutCase) (bool, error) {
	c, err := startCell(rec, program, dir, config{gateways: p.gateways, sidecars: 3, cpu: 16000, runTime: time.Second, proxied: true})
	defer c.close()
	if err != nil {
		return false, err
	}
	broken := false
	for round := range p.rounds {
		late, err := c.cancelOnce(round, trouble, p)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// cancelOnce plays one round of cancelAtCutGateway.
func (c *cell) cancelOnce(round int, trouble bool, p cutCase) (bool, error) {
	const tasks, taskCPU = 130, 2000
	// All machines are in touch from here on, but for the one that is cut off.
	time.Sleep(stableWindow + 500*time.Millisecond)
	holder, other := c.gateways[0], c.gateways[1]
	order := []int{2, 1, 3, 0}
	if p.gateways == 3 {
		order = []int{2, 1, 0}
	}
	id := c.jobWithRanks(round, order...)
	cutAt := time.Now()
	if trouble {
		c.cutGateway(true, other)
	}
	posted := c.submit(holder, id, tasks, taskCPU, time.Second, 20*time.Second)
	time.Sleep(time.Until(cutAt.Add(p.cancelAfter)))
	c.rec.logf("%s says that it is ready: %t", other.name, other.isReady())
	acked, err := acknowledged(c.call(other, http.MethodDelete, id, nil, ackBound))
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutAt.Add(p.length)))
	if trouble {
		c.cutGateway(false, other)
	}
	select {
	case <-posted:
	case <-time.After(20 * time.Second):
	}
	return judgeStarts(c, id, acked, time.Time{}), nil
}

// copyDuringCut: jobs are submitted and cancelled at a gateway that is cut off from the other gateways and from the
// store. A copy of each submission arrives at another gateway seconds later.
func copyDuringCut(rec *record, program, dir string, trouble bool) (bool, error) {
	const length = 5500 * time.Millisecond
	c, err := startCell(rec, program, dir, config{gateways: 3, sidecars: 3, cpu: 16000, runTime: 760 * time.Millisecond, proxied: true})
	defer c.close()
	if err != nil {
		return false, err
	}
	// All machines are in touch from here on, but for the one that is cut off.
	time.Sleep(stableWindow + 500*time.Millisecond)
	other := c.gateways[1]
	cutAt := time.Now()
	if trouble {
		c.cutGateway(true, other)
	}
	time.Sleep(300 * time.Millisecond)
	ids := []string{"5c0e7a21d94b36f0", "5c0e7a21d94b36f1"}
	acked := make(map[string]time.Time)
	for _, id := range ids {
		posted := c.submit(other, id, 4, 1600, 760*time.Millisecond, 5*time.Second)
		time.Sleep(250 * time.Millisecond)
		if acked[id], err = acknowledged(c.call(other, http.MethodDelete, id, nil, ackBound)); err != nil {
			return false, err
		}
		<-posted
	}
	time.Sleep(time.Until(acked[ids[1]].Add(cancelBound + 200*time.Millisecond)))
	if since := time.Since(cutAt); since > length-200*time.Millisecond {
		return false, fmt.Errorf("the copies would be sent %s after the beginning of the cut; is the machine busy?", since)
	}
	copies := []<-chan answer{
		c.submit(c.gateways[0], ids[0], 4, 1600, 760*time.Millisecond, 5*time.Second),
		c.submit(c.gateways[2], ids[1], 4, 1600, 760*time.Millisecond, 5*time.Second),
	}
	time.Sleep(time.Until(cutAt.Add(length)))
	if trouble {
		c.cutGateway(false, other)
	}
	for _, done := range copies {
		<-done
	}
	broken := false
	for _, id := range ids {
		broken = judgeStarts(c, id, acked[id], time.Time{}) || broken
	}
	return broken, nil
}

// jobWithRanks returns a job for which the gateways with the given indexes are arbiters in that order, another one for
// each round.
func (c *cell) jobWithRanks(round int, order ...int) string {
	var names []string
	for _, i := range order {
		names = append(names, c.gateways[i].name)
	}
	return jobRanked(round, names...)
}

// jobRanked returns a job for which gateways are arbiters in the given order, another one for each round.
func jobRanked(round int, names ...string) string {
	for n := round << 12; ; n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		fits := true
		for i, name := range names[:len(names)-1] {
			// Of this gateway and those that come after it, it has to rank first.
			a := arbiter.Arbiter{Self: arbiter.Process{Gateway: identifier.Entry(names[len(names)-1])}}
			for _, later := range names[i:] {
				a.PeerLinked(time.Now(), arbiter.Process{Gateway: identifier.Entry(later), Incarnation: 1})
			}
			fits = fits && a.ArbitersOf(time.Now(), specifier.JobID(id))[0] == identifier.Entry(name)
		}
		if fits {
			return id
		}
	}
}
