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

// asProgramVariable is the environment variable that makes the test binary run as the
// program itself.
const asProgramVariable = "DANDELIONGRADE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// testBinary returns the path of this test binary, which runs as the program itself if
// it is started with programEnv.
func testBinary(t *testing.T) string {
	path, err := os.Executable()
	assert.NilError(t, err)
	return path
}

func programEnv() []string {
	return append(os.Environ(), asProgramVariable+"=1")
}

// process is a role that runs as a separate process.
type process struct {
	cmd *exec.Cmd
	log syncBuffer
	// exited is closed after the process has exited and err is set.
	exited chan struct{}
	err    error
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// cell is a platform, entries, agents and backend servers that run as processes on one
// loopback address.
type cell struct {
	t         *testing.T
	ip        string
	dir       string
	processes map[string]*process
}

var cellCount atomic.Int64

// startCell starts a stand-in for the platform, two entries, and three agents with their
// backend servers, and waits until all of them serve.
func startCell(t *testing.T) *cell {
	t.Parallel()
	pid := os.Getpid()
	c := &cell{
		t:         t,
		ip:        fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+cellCount.Add(1)),
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
	p := &process{cmd: exec.Command(testBinary(c.t), role, file), exited: make(chan struct{})}
	p.cmd.Env = programEnv()
	p.cmd.Stderr = &p.log
	assert.NilError(c.t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
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

// await waits until the condition holds, and fails the test after a minute.
func (c *cell) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.fail("timed out waiting for " + what)
}

// fail logs the output of all processes and ends the test.
func (c *cell) fail(reason string) {
	c.t.Helper()
	for name, p := range c.processes {
		c.t.Logf("log of %s:\n%s", name, p.log.String())
	}
	c.t.Fatal(reason)
}

func (c *cell) signal(name string, s syscall.Signal) {
	assert.NilError(c.t, c.processes[name].cmd.Process.Signal(s))
}

// awaitExit waits until a process that was told to stop has exited without an error.
func (c *cell) awaitExit(name string) {
	c.t.Helper()
	p := c.processes[name]
	select {
	case <-p.exited:
		if p.err != nil {
			c.fail(name + " exited with " + p.err.Error())
		}
	case <-time.After(time.Minute):
		c.fail(name + " did not exit")
	}
}

func (c *cell) stop() {
	for _, p := range c.processes {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

func (c *cell) client(entry int) *client.Client {
	addr := netip.MustParseAddrPort(fmt.Sprintf("%s:710%d", c.ip, entry))
	cl, err := client.New(addr, time.Minute, 16)
	assert.NilError(c.t, err)
	return cl
}

// submission is the outcome of submitting a job.
type submission struct {
	answer client.Answer
	err    error
}

func (c *cell) submit(entry int, key string, job client.Job) <-chan submission {
	cl := c.client(entry)
	done := make(chan submission, 1)
	go func() {
		a, err := cl.Submit(context.Background(), key, job)
		done <- submission{a, err}
	}()
	return done
}

// startCounts returns how often each task was started, over all backend servers.
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

// assertNoTaskTwice checks in the logs of the backend servers that no task was started
// twice.
func (c *cell) assertNoTaskTwice() {
	c.t.Helper()
	for task, n := range c.startCounts() {
		if n > 1 {
			c.fail(fmt.Sprintf("task %s was started %d times", task, n))
		}
	}
}

// awaitStarts waits until the backend servers have started at least n tasks.
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

func newKey(t *testing.T) string {
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
		c.fail(fmt.Sprintf("incomplete answer: %+v", s.answer))
	}
}

// TestResubmissionThroughAnotherEntry submits each job through both entries at the same
// time. It guards against two answers that differ and against tasks that run twice.
func TestResubmissionThroughAnotherEntry(t *testing.T) {
	c := startCell(t)
	for range 4 { // several random keys, so that each entry is likely to own some
		key := newKey(t)
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
	c.assertNoTaskTwice()
}

// TestTerminatedEntryDrains guards against jobs without an answer when an entry gets
// SIGTERM while their tasks run.
func TestTerminatedEntryDrains(t *testing.T) {
	c := startCell(t)
	var answers []<-chan submission
	for range 8 {
		answers = append(answers, c.submit(1, newKey(t), jobOf(10, 300*time.Millisecond)))
	}
	c.awaitStarts(20)
	c.signal("entry-1", syscall.SIGTERM)
	for _, a := range answers {
		assertComplete(c, <-a, 10)
	}
	c.awaitExit("entry-1")
	c.assertNoTaskTwice()
}

// TestTerminatedAgentDrains guards against failed tasks when an agent gets SIGTERM while
// it runs tasks.
func TestTerminatedAgentDrains(t *testing.T) {
	c := startCell(t)
	answer := c.submit(1, newKey(t), jobOf(100, 200*time.Millisecond))
	c.awaitStarts(20)
	c.signal("agent-1", syscall.SIGTERM)
	assertComplete(c, <-answer, 100)
	c.awaitExit("agent-1")
	c.assertNoTaskTwice()
}

// TestKilledEntry submits jobs again through the other entry after the first one was
// killed. It guards against lost jobs and against tasks that run twice.
func TestKilledEntry(t *testing.T) {
	c := startCell(t)
	var keys []string
	job := jobOf(10, 300*time.Millisecond)
	for range 8 {
		keys = append(keys, newKey(t))
		c.submit(1, keys[len(keys)-1], job)
	}
	c.awaitStarts(20)
	c.signal("entry-1", syscall.SIGKILL)
	for _, key := range keys {
		assertComplete(c, <-c.submit(2, key, job), 10)
	}
	c.assertNoTaskTwice()
}

// TestFrozenAgent stops an agent for longer than its lease and lets it continue. It
// guards against tasks that the agent still runs while they run elsewhere.
func TestFrozenAgent(t *testing.T) {
	c := startCell(t)
	answer := c.submit(1, newKey(t), jobOf(60, 300*time.Millisecond))
	c.awaitStarts(20)
	c.signal("agent-2", syscall.SIGSTOP)
	time.Sleep(4 * time.Second) // longer than the lease of 3 s
	c.signal("agent-2", syscall.SIGCONT)
	assertComplete(c, <-answer, 60)
	c.assertNoTaskTwice()
}

// TestFrozenEntry stops an entry for longer than its lease, submits its jobs again
// through the other entry, and lets it continue. It guards against tasks that both
// entries dispatch.
func TestFrozenEntry(t *testing.T) {
	c := startCell(t)
	var keys []string
	job := jobOf(20, 200*time.Millisecond)
	for range 8 {
		keys = append(keys, newKey(t))
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
	c.assertNoTaskTwice()
}
