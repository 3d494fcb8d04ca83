package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// Names that the platform draws.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
	zone    = "gulf-a"
	queue   = "order-price"
	// attempts is the number of failures that the queue allows a task.
	attempts = 3
)

// Ports of the machines. Each machine has a loopback address of its own.
const (
	frontPort, readyPort, controlPort, appPort, storePort = 8161, 8167, 8166, 8165, 8169
	firstFreePort, lastFreePort                           = 7720, 7735
)

func stamp(t time.Time) string { return t.Format("15:04:05.000") }

// cell is a small deployment: gateways, sidecars and workers as processes, and the store in this one.
type cell struct {
	dir, recordFile string
	network         string
	commands        map[string][]string
	gateways        []*process
	sidecars        []*process
	workers         []*process
	workerConfigs   []workerConfig
	store           *standin.Store

	mu      sync.Mutex
	started []*exec.Cmd
}

// process is a process of a machine that can be killed and started again.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	args     []string
	env      []string
	log      string
}

var errCannotRun = errors.New("the case cannot run")

// newCell returns a cell that keeps its record in the folder of a case.
func newCell(caseDir string) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	recordFile, err := filepath.Abs(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &cell{dir: dir, recordFile: recordFile, store: &standin.Store{}}, os.WriteFile(recordFile, nil, 0o644)
}

// startAll starts the store, the gateways, and a side machine with a worker for each element of labels,
// which holds the labels of that worker. It returns when all are ready.
func (c *cell) startAll(gateways int, labels [][]string) error {
	var err error
	if c.commands, err = deployCommands(); err != nil {
		return err
	}
	if err := c.chooseNetwork(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.7:%d", c.network, storePort))
	if err != nil {
		return err
	}
	c.putManifest(1)
	go func() { _ = c.store.Run(context.Background(), ln) }()
	for i := range gateways {
		if err := c.startMachine("gateway", "edge", fmt.Sprintf("edge-%s-%d", zone, i+1), fmt.Sprintf("%s.%d", c.network, 10+i), &c.gateways); err != nil {
			return err
		}
	}
	for i := range labels {
		ip := fmt.Sprintf("%s.%d", c.network, 100+i)
		if err := c.startMachine("sidecar", "side", fmt.Sprintf("side-%s-%d", zone, i+1), ip, &c.sidecars); err != nil {
			return err
		}
		c.workerConfigs = append(c.workerConfigs, workerConfig{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: service, Zone: zone, Addr: fmt.Sprintf("%s:%d", ip, appPort), Control: fmt.Sprintf("%s:%d", ip, controlPort),
			Labels: labels[i], CPU: 16000, MemMB: 65536, Record: c.recordFile, Unanswered: c.unansweredFile(),
		})
		c.workers = append(c.workers, &process{name: fmt.Sprintf("worker-%d", i+1), ip: ip, log: filepath.Join(c.dir, fmt.Sprintf("worker-%d.log", i+1))})
		if err := c.startWorker(i); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// unansweredFile returns the file whose presence makes workers leave orders to start unanswered.
func (c *cell) unansweredFile() string { return filepath.Join(c.dir, "unanswered") }

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands() (map[string][]string, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	commands, role := map[string][]string{}, ""
	for s := bufio.NewScanner(f); s.Scan(); {
		line := strings.TrimSpace(s.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			commands[role] = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if commands["gateway"] == nil || commands["sidecar"] == nil {
		return nil, fmt.Errorf("%w: deploy/system.toml lacks a role", errCannotRun)
	}
	return commands, nil
}

// chooseNetwork finds a loopback network on which the store's port is free.
func (c *cell) chooseNetwork() error {
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(60), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.7:%d", c.network, storePort))
		if err == nil {
			ln.Close()
			return nil
		}
	}
	return fmt.Errorf("%w: no free loopback network", errCannotRun)
}

// putManifest writes a manifest with one queue.
func (c *cell) putManifest(version int) {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": queue, "host": host, "path_prefix": prefix, "service": service, "priority": 2, "attempts": attempts,
			"stretch": 1.6, "slo_ms": 60, "timeout_ms": 20000,
		}},
		"services": []map[string]any{{"name": service, "admission_check": true}},
		"limits":   map[string]any{},
	})
	c.store.Put("op", "config", b)
}

// startMachine renders the settings of a machine from the template of its role and starts the role.
func (c *cell) startMachine(role, class, name, ip string, list *[]*process) error {
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", c.network, 10+i, controlPort))
	}
	fields := map[string]any{
		"node": name, "class": class, "zone": zone, "ip": ip, "seeds": seeds,
		"listen.front": fmt.Sprintf("%s:%d", ip, frontPort), "listen.ready": fmt.Sprintf("%s:%d", ip, readyPort), "listen.control": fmt.Sprintf("%s:%d", ip, controlPort),
		"port_range.0": firstFreePort, "port_range.1": lastFreePort, "app": fmt.Sprintf("%s:%d", ip, appPort),
		"platform.addr": fmt.Sprintf("%s.7:%d", c.network, storePort), "bounds.grace_s": 6,
	}
	template, err := os.ReadFile("deploy/" + role + ".jsonc")
	if err != nil {
		return err
	}
	var renderErr error
	settings := regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`).ReplaceAllFunc(template, func(m []byte) []byte {
		name, asJSON := strings.CutSuffix(strings.Trim(string(m), "{}"), "|json")
		value, ok := fields[name]
		if !ok {
			renderErr = fmt.Errorf("%w: the template of %s has a placeholder %s", errCannotRun, role, name)
		}
		if asJSON {
			b, _ := json.Marshal(value)
			return b
		}
		return []byte(fmt.Sprint(value))
	})
	if renderErr != nil {
		return renderErr
	}
	file := filepath.Join(c.dir, name+".settings")
	if err := os.WriteFile(file, settings, 0o644); err != nil {
		return err
	}
	p := &process{name: name, ip: ip, args: c.commands[role], env: []string{"PATH=" + os.Getenv("PATH"), "DANDELIONGRADE_CONFIG=" + file}, log: filepath.Join(c.dir, name+".log")}
	*list = append(*list, p)
	return c.start(p)
}

// start starts a process. It ends with this one.
func (c *cell) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	c.mu.Lock()
	c.started = append(c.started, cmd)
	c.mu.Unlock()
	return nil
}

// kill sends SIGKILL to a process and waits for its end.
func (c *cell) kill(p *process) {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// startWorker starts worker i with its present configuration.
func (c *cell) startWorker(i int) error {
	b, err := json.Marshal(c.workerConfigs[i])
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c.workers[i].args = []string{self, "worker", string(b)}
	return c.start(c.workers[i])
}

// close ends all processes that the cell has started.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.started {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(c.dir)
}

// awaitReady waits until each gateway is ready, and for some time after that.
func (c *cell) awaitReady() error {
	for _, g := range c.gateways {
		for began := time.Now(); !c.ready(g); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, g.name)
			}
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	return nil
}

// ready makes the status check of the platform.
func (c *cell) ready(g *process) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// note writes a line to the record and to standard output.
func (c *cell) note(format string, args ...any) {
	line := stamp(time.Now()) + " " + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	f, err := os.OpenFile(c.recordFile, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = io.WriteString(f, line)
}

// answer is the answer to a call, or the error that ended its channel.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// call sends a request of a client to a gateway on a channel of its own.
func (c *cell) call(g *process, method, id string, body []byte, limit time.Duration) answer {
	c.note("client sends %s %s to %s", method, id, g.name)
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", g.ip, frontPort, prefix, id), bytes.NewReader(body))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	var a answer
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
	} else {
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.err = resp.StatusCode, strings.TrimSpace(string(b)), err
	}
	a.at = time.Now()
	c.note("client has from %s for %s %s: %s", g.name, method, id, a)
	return a
}

// jobBody returns a best-effort job of one step. Each task runs for the given time.
func jobBody(tasks int, runTime time.Duration, requires string) []byte {
	step := map[string]any{"count": tasks, "cpu": taskDemand[0], "mem_mb": taskDemand[1], "est_ms": runTime.Milliseconds()}
	if requires != "" {
		step["requires"] = requires
	}
	b, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("run %d ms", runTime.Milliseconds()), "best_effort": true, "steps": []any{step}})
	return b
}

// recordedEvent is a start or an end that a worker has recorded.
type recordedEvent struct {
	at                         time.Time
	worker, event, task, extra string
	run                        string
}

// events returns the starts and ends of a job's tasks, oldest first.
func (c *cell) events(id string) []recordedEvent {
	b, err := os.ReadFile(c.recordFile)
	if err != nil {
		return nil
	}
	var events []recordedEvent
	for _, line := range strings.Split(string(b), "\n") {
		if !strings.Contains(line, " task="+id+".") {
			continue
		}
		fields := strings.Fields(line)
		e := recordedEvent{}
		e.at, _ = time.ParseInLocation("15:04:05.000", fields[0], time.Local)
		for _, f := range fields[1:] {
			key, value, _ := strings.Cut(f, "=")
			switch key {
			case "worker":
				e.worker = value
			case "event":
				e.event = value
			case "task":
				e.task = value
			case "run":
				e.run = value
			default:
				e.extra += f + " "
			}
		}
		events = append(events, e)
	}
	return events
}

// runningNow returns the runs of a job that have started and not ended.
func (c *cell) runningNow(id string) []string {
	open := map[string]bool{}
	var order []string
	for _, e := range c.events(id) {
		key := e.task + " run " + e.run + " on " + e.worker
		if e.event == "unanswered" {
			continue
		}
		if e.event == "start" {
			open[key] = true
			order = append(order, key)
		} else {
			delete(open, key)
		}
	}
	var running []string
	for _, key := range order {
		if open[key] {
			running = append(running, key)
		}
	}
	return running
}

// awaitStart waits until a task of a job runs.
func (c *cell) awaitStart(id string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if len(c.runningNow(id)) > 0 {
			return true
		}
	}
	return false
}
