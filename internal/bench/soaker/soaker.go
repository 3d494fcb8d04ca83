// Package soaker runs the programs as separate processes on loopback while faults strike
// them from outside, and checks the promises by what callers and workers see.
package soaker

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/supervisor"
	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// recoverWithin is the time after the last fault in which service must be back. Two seconds
// are promised for a worker that returns; a process that starts again needs a part of one.
const recoverWithin = 3 * time.Second

// Settings are those of one soak.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	Size     Size
	// IP is a loopback address of this soak alone; its ports are chosen here.
	IP netip.Addr
	// Dir takes the settings files and the logs of the processes.
	Dir     string
	Program Program
	// FaultLog takes a line for each fault as it strikes.
	FaultLog io.Writer
}

// MinDuration is the shortest soak that has faults.
const MinDuration = warmUp + longestFault + calm

// Report is what a soak has seen.
type Report struct {
	Faults, Jobs, Starts int
	Breaches             []Breach
}

// String returns the report in lines.
func (r *Report) String() string {
	s := fmt.Sprintf("%d faults, %d jobs, %d starts, %d promises broken\n", r.Faults, r.Jobs, r.Starts, len(r.Breaches))
	for _, b := range r.Breaches {
		s += fmt.Sprintf("%s %s: %s\n", b.At.Format("15:04:05.000"), b.Rule, b.Detail)
	}
	return s
}

// soak is a running soak.
type soak struct {
	*cell

	settings Settings
	ledger   *Checker
	callers  standin.Callers
	// leavers are callers that leave early.
	leavers  standin.Callers
	manifest manifests
}

// Run carries out one soak. The error is about the soak itself; what it found is in the
// report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ledger := &Checker{TasksPerWorker: workerCPU / standin.TaskCPU}
	c, err := newCell(&settings, witness{ledger})
	if err != nil {
		return nil, err
	}
	s := &soak{cell: c, settings: settings, ledger: ledger, callers: standin.Callers{Timeout: callTimeout}, leavers: standin.Callers{Timeout: longestStay / 2}}
	s.putManifest()
	if err := c.begin(ctx); err != nil {
		stop()
		c.end()
		return nil, err
	}
	plan := GeneratePlan(settings.Seed, settings.Duration, settings.Size)
	s.strike(ctx, plan)
	stop()
	c.end()
	report := &Report{Faults: len(plan), Breaches: ledger.Finish(time.Now())}
	report.Jobs, report.Starts = ledger.Counts()
	return report, nil
}

// strike runs callers and watchers while the faults of a plan strike, and for a calm time
// after them.
func (s *soak) strike(ctx context.Context, plan []Fault) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var tasks []func()
	for n := range s.settings.Size.callers() {
		tasks = append(tasks, func() { s.call(ctx, n) })
	}
	for _, g := range s.settings.Size.gateways() {
		tasks = append(tasks, func() { s.watchManifest(ctx, g) })
	}
	tasks = append(tasks, func() { s.watchProcesses(ctx) })
	wait := supervisor.Start(tasks...)
	s.inject(ctx, plan)
	s.calmDown(ctx)
	stop()
	wait()
}

// inject carries the faults out, each in a task of its own, and waits for their ends.
func (s *soak) inject(ctx context.Context, plan []Fault) {
	begin := time.Now()
	ended := make(chan struct{})
	for _, f := range plan {
		sleep(ctx, time.Until(begin.Add(f.At)))
		fmt.Fprintf(s.settings.FaultLog, "%s %s\n", time.Now().Format("15:04:05.000"), f)
		go func() {
			s.carryOut(ctx, f)
			ended <- struct{}{}
		}()
	}
	for range plan {
		<-ended
	}
	sleep(ctx, time.Until(begin.Add(s.settings.Duration-calm)))
}

// note notes a breach that is seen now.
func (s *soak) note(rule Rule, format string, args ...any) {
	s.ledger.AddBreach(time.Now(), rule, format, args...)
}

// calmDown gives service the time to come back, and then demands that it is there.
func (s *soak) calmDown(ctx context.Context) {
	fmt.Fprintf(s.settings.FaultLog, "%s calm\n", time.Now().Format("15:04:05.000"))
	sleep(ctx, recoverWithin)
	s.demand.Store(true)
	s.ledger.StartFaultFree()
	s.checkManifests(ctx)
	sleep(ctx, calm-recoverWithin)
	for _, name := range s.settings.Size.workers() {
		s.ledger.CheckWorkerUsed(time.Now(), s.workers[name].life().ID)
	}
}
