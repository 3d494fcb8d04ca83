package soaker

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is a program that the soak restarts after each end. Signals go through the handle of
// the started process, so they cannot reach any other one.
type process struct {
	name    string
	program Program
	args    []string
	// log receives the output of all incarnations.
	log *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// endExpected is set once the current incarnation was signalled to end.
	endExpected bool
	starts      int
	// ended holds the exit error of the current incarnation once it has ended.
	ended chan error
	// logOffset is the size of the log at the start of the current incarnation.
	logOffset int64
	// pausedFor is the total time that the process was paused.
	pausedFor time.Duration

	// restartMu serializes starts of the next incarnation.
	restartMu sync.Mutex
}

// Program says how to start the program under test.
type Program struct {
	Path string
	// Env is the environment; if it is nil, that of this process is used.
	Env []string
}

// start starts the first or the next incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := p.log.Stat()
	if err != nil {
		return errors.Wrapf(err, "stat the log of %s", p.name)
	}
	cmd := exec.Command(p.program.Path, p.args...)
	cmd.Env = p.program.Env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s; check that %s is executable", p.name, p.program.Path)
	}
	p.cmd, p.endExpected, p.logOffset = cmd, false, log.Size()
	p.starts++
	ended := make(chan error, 1)
	p.ended = ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// hasLogged reports whether the current incarnation has written to its log. Before that it
// does not handle signals yet, and SIGTERM kills it.
func (p *process) hasLogged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := p.log.Stat()
	return err == nil && log.Size() > p.logOffset
}

// signal sends a signal to the current incarnation.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	// Signalling fails if the process has ended, which watchers see from its end.
	_ = p.cmd.Process.Signal(s)
}

// incarnation returns the number of the current incarnation, which counts from one.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// awaitEnd waits until the current incarnation has ended, the limit has passed or ctx has
// ended. It reports whether the incarnation has ended, and its exit error.
func (p *process) awaitEnd(ctx context.Context, limit time.Duration) (ended bool, err error) {
	p.mu.Lock()
	end := p.ended
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-end:
		// Put the error back for the next reader.
		end <- err
		return true, err
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, nil
}

// hasEnded reports whether the current incarnation has ended, and its exit error. The caller
// holds p.mu.
func (p *process) hasEnded() (ended bool, err error) {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true, err
	default:
		return false, nil
	}
}

// endedUnexpectedly reports whether the current incarnation has ended without a signal to end,
// and its exit error.
func (p *process) endedUnexpectedly() (unexpected bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended, err := p.hasEnded()
	return ended && !p.endExpected, err
}

// pause suspends the current incarnation for a duration.
func (p *process) pause(ctx context.Context, d time.Duration) {
	start := time.Now()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedFor += time.Since(start)
}

// A starved process runs for starveRun and stands still for starveStop, in turns.
const (
	starveRun  = 3 * time.Millisecond
	starveStop = 90 * time.Millisecond
)

// starve lets the current incarnation run for a small part of the time, for a duration.
func (p *process) starve(ctx context.Context, d time.Duration) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	for ctx.Err() == nil {
		p.pause(ctx, starveStop)
		sleep(ctx, starveRun)
	}
}

// totalPause returns how long the process was paused in all pauses so far.
func (p *process) totalPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor
}

// restart ends the current incarnation with a signal and starts the next one after a duration.
func (p *process) restart(ctx context.Context, s syscall.Signal, d time.Duration) {
	p.signal(s)
	p.awaitEnd(ctx, graceMargin)
	sleep(ctx, d)
	p.startIfEnded(ctx)
}

// startIfEnded starts the next incarnation if the current one has ended. Overlapping faults may
// call it concurrently.
func (p *process) startIfEnded(ctx context.Context) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.mu.Lock()
	ended, _ := p.hasEnded()
	p.mu.Unlock()
	if !ended || ctx.Err() != nil {
		return
	}
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		// watchProcesses reports the error as an unexpected end.
		p.endExpected = false
		p.ended = make(chan error, 1)
		p.ended <- err
	}
}
