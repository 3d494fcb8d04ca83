package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/front/client"
)

// roleVariable makes the test binary run as the program itself.
const roleVariable = "DANDELIONGRADE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// testBinary returns the path of this binary, which runs as the program when it is
// started with programEnv.
func testBinary(t *testing.T) string {
	path, err := os.Executable()
	assert.NilError(t, err)
	return path
}

func programEnv() []string {
	return append(os.Environ(), roleVariable+"=1")
}

// process is a role that runs as a process of its own.
type process struct {
	cmd *exec.Cmd
	log lockedBuffer
	// ended is closed when the process has ended, with err.
	ended chan struct{}
	err   error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// cell is a whole system of processes on a loopback address of its own.
type cell struct {
	t         *testing.T
	ip        string
	dir       string
	processes map[string]*process
}

var cells atomic.Int64

// startCell runs a platform, two entries, and three agents with their backends.
func startCell(t *testing.T) *cell {
	t.Parallel()
	pid := os.Getpid()
	c := &cell{
		t:         t,
		ip:        fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+cells.Add(1)),
		dir:       t.TempDir(),
		processes: make(map[string]*process),
	}
	t.Cleanup(c.stop)
	c.start("platform", "platform", `"listen": "IP:7000"`)
	for i := 1; i <= 2; i++ {
		c.startEntry(i)
	}
	for i := 1; i <= 3; i++ {
		c.start("backend", fmt.Sprintf("backend-%d", i), fmt.Sprintf(`"listen": "IP:730%d", "longest_run": "300ms"`, i))
		c.startAgent(i)
	}
	for _, page := range []string{
		"7301/v1/log", "7302/v1/log", "7303/v1/log",
		"7401/readyz", "7402/readyz", "7501/readyz", "7502/readyz", "7503/readyz",
	} {
		c.awaitPage(page)
	}
	return c
}

func (c *cell) startEntry(i int) {
	c.start("entry", fmt.Sprintf("entry-%d", i), fmt.Sprintf(`"name": "entry-%d", "data_centre": "dc-1", "platform": "IP:7000",
		"callers": "IP:710%d", "link": "IP:720%d", "admin": "IP:740%d", "refresh": "200ms",
		"templates": {"stock": {"urgent": true}}, "workspaces": {"nails": {"team": "counter"}}`, i, i, i, i))
}

func (c *cell) startAgent(i int) {
	c.start("agent", fmt.Sprintf("agent-%d", i), fmt.Sprintf(`"name": "agent-%d", "data_centre": "dc-1", "rack": "rack-1", "platform": "IP:7000",
		"backend": "IP:730%d", "admin": "IP:750%d"`, i, i, i))
}

func (c *cell) start(role, name, settings string) {
	file := filepath.Join(c.dir, name+".jsonc")
	text := fmt.Sprintf("{\"role\": %q, %s}", role, settings)
	assert.NilError(c.t, os.WriteFile(file, bytes.ReplaceAll([]byte(text), []byte("IP"), []byte(c.ip)), 0o600))
	p := &process{cmd: exec.Command(testBinary(c.t), role, file), ended: make(chan struct{})}
	p.cmd.Env = programEnv()
	p.cmd.Stderr = &p.log
	assert.NilError(c.t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	c.processes[name] = p
}

// awaitPage waits until a page, given by port and path, is served.
func (c *cell) awaitPage(page string) {
	c.await("page "+page, func() bool {
		resp, err := http.Get("http://" + c.ip + ":" + page)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await waits for something that must come, at most a minute.
func (c *cell) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.fail("waited in vain for " + what)
}

func (c *cell) fail(why string) {
	c.t.Helper()
	for name, p := range c.processes {
		c.t.Logf("log of %s:\n%s", name, p.log.String())
	}
	c.t.Fatal(why)
}

func (c *cell) signal(name string, s syscall.Signal) {
	assert.NilError(c.t, c.processes[name].cmd.Process.Signal(s))
}

// awaitExit waits for the end of a process that was told to stop.
func (c *cell) awaitExit(name string) {
	c.t.Helper()
	p := c.processes[name]
	select {
	case <-p.ended:
		if p.err != nil {
			c.fail(name + " ended with " + p.err.Error())
		}
	case <-time.After(time.Minute):
		c.fail(name + " did not end")
	}
}

func (c *cell) stop() {
	for _, p := range c.processes {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

func (c *cell) client(entry int) *client.Client {
	addr := netip.MustParseAddrPort(fmt.Sprintf("%s:710%d", c.ip, entry))
	h, err := client.New(addr, time.Minute, 16)
	assert.NilError(c.t, err)
	return h
}

// submission is a submitted job whose answer is awaited.
type submission struct {
	answer client.Answer
	err    error
}

func (c *cell) submit(entry int, key string, job client.Job) <-chan submission {
	h := c.client(entry)
	done := make(chan submission, 1)
	go func() {
		a, err := h.Submit(context.Background(), key, job)
		done <- submission{a, err}
	}()
	return done
}

// startCounts returns how often each task was started, over all backends.
func (c *cell) startCounts() map[string]int {
	counts := make(map[string]int)
	for i := 1; i <= 3; i++ {
		resp, err := http.Get(fmt.Sprintf("http://%s:730%d/v1/log", c.ip, i))
		assert.NilError(c.t, err)
		var log struct {
			Starts map[string]int `json:"starts"`
		}
		assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&log))
		_ = resp.Body.Close()
		for task, n := range log.Starts {
			counts[task] += n
		}
	}
	return counts
}

// assertOnce checks the oracles: no task was started twice.
func (c *cell) assertOnce() {
	c.t.Helper()
	for task, n := range c.startCounts() {
		if n > 1 {
			c.fail(fmt.Sprintf("task %s was started %d times", task, n))
		}
	}
}

// awaitStarts waits until the backends have started at least n tasks.
func (c *cell) awaitStarts(n int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d starts", n), func() bool { return len(c.startCounts()) >= n })
}

func jobOf(tasks int, run time.Duration) client.Job {
	job := client.Job{Workspace: "nails", Template: "stock"}
	for range tasks {
		job.Tasks = append(job.Tasks, json.RawMessage(fmt.Sprintf(`{"run_ms": %d}`, run.Milliseconds())))
	}
	return job
}

func mint(t *testing.T) string {
	key, err := identifier.NewKey(time.Now())
	assert.NilError(t, err)
	return key
}

func assertComplete(c *cell, s submission, tasks int) {
	c.t.Helper()
	if s.err != nil {
		c.fail(s.err.Error())
	}
	if !s.answer.Complete() || len(s.answer.Results) != tasks {
		c.fail(fmt.Sprintf("answer is not whole: %+v", s.answer))
	}
}

func TestResubmissionThroughAnotherEntry(t *testing.T) {
	c := startCell(t)
	for range 4 { // some of these identities belong to either entry
		key := mint(t)
		job := jobOf(130, time.Millisecond)
		first := c.submit(1, key, job)
		second := c.submit(2, key, job)
		a, b := <-first, <-second
		assertComplete(c, a, 130)
		assertComplete(c, b, 130)
		assert.DeepEqual(t, a.answer, b.answer)
		got, err := c.client(2).Get(context.Background(), "nails", key)
		if err != nil {
			c.fail(err.Error())
		}
		assert.DeepEqual(t, got, a.answer)
	}
	assert.Equal(t, len(c.startCounts()), 4*130)
	c.assertOnce()
}

func TestTermOfEntryCutsOffNothing(t *testing.T) {
	c := startCell(t)
	var answers []<-chan submission
	for range 8 {
		answers = append(answers, c.submit(1, mint(t), jobOf(10, 300*time.Millisecond)))
	}
	c.awaitStarts(20)
	c.signal("entry-1", syscall.SIGTERM)
	for _, a := range answers {
		assertComplete(c, <-a, 10)
	}
	c.awaitExit("entry-1")
	c.assertOnce()
}

func TestTermOfAgentCutsOffNothing(t *testing.T) {
	c := startCell(t)
	answer := c.submit(1, mint(t), jobOf(100, 200*time.Millisecond))
	c.awaitStarts(20)
	c.signal("agent-1", syscall.SIGTERM)
	assertComplete(c, <-answer, 100)
	c.awaitExit("agent-1")
	c.assertOnce()
}

func TestKilledEntry(t *testing.T) {
	c := startCell(t)
	var keys []string
	job := jobOf(10, 300*time.Millisecond)
	for range 8 {
		keys = append(keys, mint(t))
		c.submit(1, keys[len(keys)-1], job)
	}
	c.awaitStarts(20)
	c.signal("entry-1", syscall.SIGKILL)
	for _, key := range keys {
		assertComplete(c, <-c.submit(2, key, job), 10)
	}
	c.assertOnce()
}

func TestFrozenAgent(t *testing.T) {
	c := startCell(t)
	answer := c.submit(1, mint(t), jobOf(60, 300*time.Millisecond))
	c.awaitStarts(20)
	c.signal("agent-2", syscall.SIGSTOP)
	time.Sleep(4 * time.Second) // beyond the lease of 3 s
	c.signal("agent-2", syscall.SIGCONT)
	assertComplete(c, <-answer, 60)
	c.assertOnce()
}

func TestFrozenEntry(t *testing.T) {
	c := startCell(t)
	var keys []string
	job := jobOf(20, 200*time.Millisecond)
	for range 8 {
		keys = append(keys, mint(t))
		c.submit(1, keys[len(keys)-1], job)
	}
	c.awaitStarts(20)
	c.signal("entry-1", syscall.SIGSTOP)
	var answers []<-chan submission
	for _, key := range keys {
		answers = append(answers, c.submit(2, key, job))
	}
	time.Sleep(4 * time.Second)
	c.signal("entry-1", syscall.SIGCONT)
	for _, a := range answers {
		assertComplete(c, <-a, 20)
	}
	c.assertOnce()
}
