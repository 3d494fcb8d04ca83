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

// recoveryLimit is the time after the last fault in which service must be back. Two seconds
// are promised for a worker that returns; a process that starts again needs a part of one.
const recoveryLimit = 3 * time.Second

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
const MinDuration = warmUp + longestFault + faultFreeDuration

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
	*cluster

	settings Settings
	checker   *Checker
	callers  standin.Callers
	// impatientCallers are callers that leave early.
	impatientCallers  standin.Callers
	manifests manifests
}

// Run carries out one soak. The error is about the soak itself; what it found is in the
// report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ledger := &Checker{TasksPerWorker: workerCPU / standin.TaskCPU}
	c, err := newCluster(&settings, runObserver{ledger})
	if err != nil {
		return nil, err
	}
	s := &soak{cluster: c, settings: settings, checker: ledger, callers: standin.Callers{Timeout: callTimeout}, impatientCallers: standin.Callers{Timeout: maxCallerWait / 2}}
	s.putManifest()
	if err := c.start(ctx); err != nil {
		stop()
		c.stop()
		return nil, err
	}
	plan := GeneratePlan(settings.Seed, settings.Duration, settings.Size)
	s.runUnderFaults(ctx, plan)
	stop()
	c.stop()
	report := &Report{Faults: len(plan), Breaches: ledger.Finish(time.Now())}
	report.Jobs, report.Starts = ledger.Counts()
	return report, nil
}

// runUnderFaults runs callers and watchers while the faults of a plan runUnderFaults, and for a calm time
// after them.
func (s *soak) runUnderFaults(ctx context.Context, plan []Fault) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var tasks []func()
	for n := range s.settings.Size.callerCount() {
		tasks = append(tasks, func() { s.runCaller(ctx, n) })
	}
	for _, g := range s.settings.Size.gateways() {
		tasks = append(tasks, func() { s.watchManifest(ctx, g) })
	}
	tasks = append(tasks, func() { s.watchProcesses(ctx) })
	wait := supervisor.Start(tasks...)
	s.inject(ctx, plan)
	s.runFaultFree(ctx)
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
			s.apply(ctx, f)
			ended <- struct{}{}
		}()
	}
	for range plan {
		<-ended
	}
	sleep(ctx, time.Until(begin.Add(s.settings.Duration-faultFreeDuration)))
}

// addBreach notes a breach that is seen now.
func (s *soak) addBreach(rule Rule, format string, args ...any) {
	s.checker.AddBreach(time.Now(), rule, format, args...)
}

// runFaultFree gives service the time to come back, and then demands that it is there.
func (s *soak) runFaultFree(ctx context.Context) {
	fmt.Fprintf(s.settings.FaultLog, "%s calm\n", time.Now().Format("15:04:05.000"))
	sleep(ctx, recoveryLimit)
	s.mustServe.Store(true)
	s.checker.StartFaultFree()
	s.checkManifests(ctx)
	sleep(ctx, faultFreeDuration-recoveryLimit)
	for _, name := range s.settings.Size.workers() {
		s.checker.CheckWorkerUsed(time.Now(), s.workers[name].instance().ID)
	}
}
