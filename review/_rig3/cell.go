package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// errNotRun marks a case that could not run, as against one that held or failed.
type errNotRun struct{ error }

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run is a run of a task at a worker.
type run struct {
	worker, task   string
	number         uint64
	started, ended time.Time
	outcome        string
}

// observer records the runs of all workers.
type observer struct {
	rec  *record
	mu   sync.Mutex
	runs []*run
}

func (o *observer) RunStarted(worker, task string, number uint64, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, &run{worker: worker, task: task, number: number, started: time.Now()})
	o.rec.logf("%s starts %s, run %d", worker, task, number)
}

func (o *observer) RunEnded(worker, task string, number uint64, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runs {
		if r.worker == worker && r.task == task && r.number == number && r.ended.IsZero() {
			r.ended, r.outcome = time.Now(), outcome
		}
	}
	o.rec.logf("%s ends %s, run %d: %s", worker, task, number, outcome)
}

// startsAfter returns the runs of the tasks of a job that were started after a time.
func (o *observer) startsAfter(job string, at time.Time) []*run {
	o.mu.Lock()
	defer o.mu.Unlock()
	var late []*run
	for _, r := range o.runs {
		if len(r.task) > len(job) && r.task[:len(job)+1] == job+"." && r.started.After(at) {
			late = append(late, r)
		}
	}
	return late
}

// process is a gateway or a sidecar, started with the command of the deploy file.
type process struct {
	name, role, settings string
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// gatewayInfo holds the addresses of a gateway. Other processes reach its link port at through, where a proxy of the
// case listens, if the case has one.
type gatewayInfo struct {
	*process
	zone, callers, ready, link, through, store string
}

// cell is a small deployment: a store, gateways, and sidecars with their workers.
type cell struct {
	rec      *record
	dir      string
	program  string
	store    *standin.Store
	obs      *observer
	gateways []*gatewayInfo
	sidecars []*process
	workers  []*standin.Worker
	stop     context.CancelFunc
	served   sync.WaitGroup
	proxies  *proxies
	// ips holds the addresses of gateways, and ports their ports, which are the same on each.
	ips   []string
	ports []int
}

// config describes a cell.
type config struct {
	gateways, sidecars int
	// replacements is the number of gateways that are started later, at other addresses.
	replacements int
	// cpu is the capacity of each worker, in millicores, and runTime the run time of each task.
	cpu     int
	runTime time.Duration
	// proxied puts a proxy before the link port of each gateway and between each gateway and the store.
	proxied bool
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// freePort returns a port that is free on each of the addresses.
func freePort(ips ...string) (int, error) {
	for range 200 {
		ln, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			defer other.Close()
		}
		ln.Close()
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on all of %v", ips)
}

// startCell starts a cell and waits until its gateways are ready.
func startCell(rec *record, program, dir string, cfg config) (*cell, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &cell{rec: rec, dir: dir, program: program, store: &standin.Store{}, obs: &observer{rec: rec}, stop: stop, proxies: &proxies{rec: rec}}
	c.store.PutManifest(1, standin.Prefix)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	storeAddr := ln.Addr().String()
	c.serve(func() { _ = c.store.Run(ctx, ln) })
	if err := c.startGateways(ctx, cfg, storeAddr); err != nil {
		return c, err
	}
	for i := range cfg.sidecars {
		if err := c.startSidecar(ctx, cfg, i, storeAddr); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(10 * time.Second)
}

func (c *cell) serve(f func()) {
	c.served.Add(1)
	go func() {
		defer c.served.Done()
		f()
	}()
}

func gatewayIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func (c *cell) startGateways(ctx context.Context, cfg config, storeAddr string) error {
	for i := range cfg.gateways + cfg.replacements {
		c.ips = append(c.ips, gatewayIP(i))
	}
	c.ports = make([]int, 4)
	for i := range c.ports {
		var err error
		if c.ports[i], err = freePort(c.ips...); err != nil {
			return err
		}
	}
	for i := range cfg.gateways {
		g, err := c.startGateway(ctx, cfg, i, zones[i%len(zones)], storeAddr)
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, g)
	}
	return nil
}

// startGateway starts the gateway with a number, which is also that of its address.
func (c *cell) startGateway(ctx context.Context, cfg config, i int, zone, storeAddr string) (*gatewayInfo, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", c.ips[i], port) }
	g := &gatewayInfo{process: &process{name: gatewayName(i, zone), role: "gateway"}, zone: zone, callers: at(c.ports[0]), ready: at(c.ports[1]), link: at(c.ports[2]), store: storeAddr}
	settings := map[string]any{
		"role": "gateway", "name": g.name, "data_centre": zone, "callers": g.callers, "ready": g.ready, "link": g.link, "admin": at(c.ports[3]),
		"grace": "6s", "evacuations": false, "remote_rack_factor": 1.5,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
	}
	if cfg.proxied {
		var err error
		if g.through, err = c.proxies.listenLink(ctx, g.name, g.link); err != nil {
			return nil, err
		}
		if g.store, err = c.proxies.listenPlain(ctx, g.name, "store", storeAddr); err != nil {
			return nil, err
		}
		settings["link_advertised"] = g.through
	} else {
		var seeds []string
		for _, ip := range c.ips[:cfg.gateways] {
			seeds = append(seeds, fmt.Sprintf("%s:8166", ip))
		}
		settings["seeds"], settings["seed_link_port"] = seeds, c.ports[2]
	}
	settings["store"] = g.store
	return g, c.launch(g.process, settings)
}

func gatewayName(i int, zone string) string { return fmt.Sprintf("edge-%s-%d", zone, 1+i) }

func (c *cell) startSidecar(ctx context.Context, cfg config, i int, storeAddr string) error {
	orders, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	control, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	admin, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	zone := zones[i%len(zones)]
	p := &process{name: fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)), role: "sidecar"}
	w := &standin.Worker{
		ID: fmt.Sprintf("i-%d", i+1), Service: standin.Service, Zone: zone, Addr: netip.MustParseAddrPort(orders.Addr().String()),
		Control: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", control)), CPU: cfg.cpu, RunTime: cfg.runTime, Observer: c.obs,
	}
	c.serve(func() { _ = w.Run(ctx, orders) })
	c.workers, c.sidecars = append(c.workers, w), append(c.sidecars, p)
	return c.launch(p, map[string]any{
		"role": "sidecar", "name": p.name, "data_centre": zone, "control": w.Control.String(), "worker": w.Addr.String(), "admin": fmt.Sprintf("127.0.0.1:%d", admin),
		"store": storeAddr, "grace": "6s", "evacuations": false, "remote_rack_factor": 1.5,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
	})
}

// launch writes the settings of a process and starts it.
func (c *cell) launch(p *process, settings map[string]any) error {
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(c.dir, p.name+".jsonc")
	if err := os.WriteFile(p.settings, body, 0o600); err != nil {
		return err
	}
	return c.start(p)
}

// start starts a process with the settings that it had before.
func (c *cell) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(c.program, p.role)
	p.cmd.Env = append(os.Environ(), "DANDELIONGRADE_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	noteStarted(p.cmd.Process)
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	c.rec.logf("%s is started", p.name)
	return nil
}

// started holds all processes that were started, for killStarted.
var started struct {
	sync.Mutex
	processes []*os.Process
	ended     bool
}

func noteStarted(p *os.Process) {
	started.Lock()
	defer started.Unlock()
	if started.ended {
		_ = p.Kill()
	}
	started.processes = append(started.processes, p)
}

// killStarted ends all processes that were started, and those that are started later. It does nothing to one that
// has ended.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	started.ended = true
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

// kill ends a process with SIGKILL.
func (c *cell) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	c.rec.logf("%s is killed", p.name)
}

// close ends all processes of the cell.
func (c *cell) close() {
	for _, g := range c.gateways {
		c.end(g.process)
	}
	for _, p := range c.sidecars {
		c.end(p)
	}
	c.stop()
	c.served.Wait()
}

func (c *cell) end(p *process) {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// isReady reports whether a gateway answers its readiness check with 200.
func (g *gatewayInfo) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cell) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range c.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", g.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.rec.logf("%s is ready", g.name)
	}
	return nil
}

// answer is the answer to a request of a client.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

// call sends a request of a client to a gateway, on a channel of its own.
func (c *cell) call(g *gatewayInfo, method, id string, body []byte, limit time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+g.callers+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	c.rec.logf("client sends %s %s to %s", method, id, g.name)
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.rec.logf("client gets no answer to %s %s from %s: %v", method, id, g.name, err)
		return answer{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, string(bytes.TrimSpace(text)), err, time.Now()}
	c.rec.logf("client gets %d to %s %s from %s: %s", a.status, method, id, g.name, a.body)
	return a
}

// submit sends a job without waiting for its answer.
func (c *cell) submit(g *gatewayInfo, id string, tasks, cpu int, est, limit time.Duration) <-chan answer {
	body, err := json.Marshal(map[string]any{
		"spec": "counter", "best_effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem_mb": 64, "est_ms": est.Milliseconds()}},
	})
	if err != nil {
		panic(err)
	}
	done := make(chan answer, 1)
	go func() { done <- c.call(g, http.MethodPost, id, body, limit) }()
	return done
}
