package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// copyAfterReplacements: gateways are removed for good, one after the other, and others come at other addresses. Then
// jobs are cancelled, and one more gateway is replaced. A copy of each submission arrives at the new one.
func copyAfterReplacements(rec *record, program, dir string, trouble bool) (bool, error) {
	const before, tasks, cpu = 14, 4, 1600
	cfg := config{gateways: 3, sidecars: 3, replacements: before + 1, cpu: 16000, runTime: 760 * time.Millisecond}
	c, err := startCell(rec, program, dir, cfg)
	defer c.close()
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	next := cfg.gateways
	if trouble {
		for n := range before {
			if err := c.replace(ctx, cfg, n%len(c.gateways), next); err != nil {
				return false, err
			}
			next++
		}
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	const last = 2
	newName := gatewayName(next, c.gateways[last].zone)
	acked := make(map[string]time.Time)
	var ids []string
	for round := range 3 {
		id := jobRanked(round, c.gateways[0].name, c.gateways[1].name, newName)
		ids = append(ids, id)
		posted := c.submit(c.gateways[0], id, tasks, cpu, cfg.runTime, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		if acked[id], err = acknowledged(c.call(c.gateways[0], http.MethodDelete, id, nil, ackBound)); err != nil {
			return false, err
		}
		<-posted
	}
	if err := c.replace(ctx, cfg, last, next); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	for _, id := range ids {
		<-c.submit(c.gateways[last], id, tasks, cpu, cfg.runTime, 5*time.Second)
	}
	broken := false
	for _, id := range ids {
		broken = judgeStarts(c, id, acked[id], time.Time{}) || broken
	}
	return broken, nil
}

// replace removes a gateway for good, and starts another one a second later in the same zone, at another address.
func (c *cell) replace(ctx context.Context, cfg config, index, number int) error {
	old := c.gateways[index]
	c.kill(old.process)
	time.Sleep(time.Second)
	g, err := c.startGateway(ctx, cfg, number, old.zone, old.store)
	if err != nil {
		return err
	}
	c.gateways[index] = g
	for range 250 {
		if g.isReady() {
			c.rec.logf("%s is ready, in place of %s", g.name, old.name)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 5 s", g.name)
}
