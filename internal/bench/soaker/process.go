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

// process is a program that is started again after each end that the soak brought about.
// Only processes that it started itself get signals, by their handle.
type process struct {
	name    string
	program Program
	args    []string
	// log takes the output of all lives.
	log *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// endExpected is set when the present life is meant to end.
	endExpected bool
	starts    int
	// ended holds the end of the present life.
	ended chan error
	// logOffset is the length of the log when the present life began.
	logOffset int64
	// pausedFor is how long the process has stood still.
	pausedFor time.Duration

	// restartMu is held by whoever begins the next life.
	restartMu sync.Mutex
}

// Program is how the program is started.
type Program struct {
	Path string
	// Env is the environment; an empty one stands for that of this process.
	Env []string
}

// start starts the first or the next life.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := p.log.Stat()
	if err != nil {
		return errors.Wrapf(err, "look at the log of %s", p.name)
	}
	cmd := exec.Command(p.program.Path, p.args...)
	cmd.Env = p.program.Env
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s; check that %s can be run", p.name, p.program.Path)
	}
	p.cmd, p.endExpected, p.logOffset = cmd, false, log.Size()
	p.starts++
	ended := make(chan error, 1)
	p.ended = ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// hasLogged reports whether the present life has logged something. Before that it does not
// listen for signals yet, and SIGTERM ends it as any program.
func (p *process) hasLogged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := p.log.Stat()
	return err == nil && log.Size() > p.logOffset
}

// signal sends a signal to the present life.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	// A process that has ended in the meantime shows by its end.
	_ = p.cmd.Process.Signal(s)
}

// incarnation returns the number of the present incarnation.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// awaitEnd waits for the end of the present life, at most for a time, and reports whether
// it came and with what error.
func (p *process) awaitEnd(ctx context.Context, limit time.Duration) (ended bool, err error) {
	p.mu.Lock()
	ends := p.ended
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-ends:
		// Whoever looks next sees the end as well.
		ends <- err
		return true, err
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, nil
}

// hasEnded reports whether the present life has ended, and with what error. The lock is
// held.
func (p *process) hasEnded() (ended bool, err error) {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true, err
	default:
		return false, nil
	}
}

// endedUnexpectedly reports whether the present life has ended without being meant to.
func (p *process) endedUnexpectedly() (surprise bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended, err := p.hasEnded()
	return ended && !p.endExpected, err
}

// pause stops the present life for a time.
func (p *process) pause(ctx context.Context, d time.Duration) {
	began := time.Now()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedFor += time.Since(began)
}

// totalPause returns how long the process has stood still in all pauses so far.
func (p *process) totalPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor
}

// restart ends the present life with a signal and begins another one after a time.
func (p *process) restart(ctx context.Context, s syscall.Signal, d time.Duration) {
	p.signal(s)
	p.awaitEnd(ctx, graceMargin)
	sleep(ctx, d)
	p.startIfEnded(ctx)
}

// startIfEnded begins a life if there is none. Several faults may want it at once.
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
		// The watcher of processes reports it.
		p.endExpected = false
		p.ended = make(chan error, 1)
		p.ended <- err
	}
}
