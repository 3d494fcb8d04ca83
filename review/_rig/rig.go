package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

const (
	// grace is grace_s of the small sites.
	grace = 6 * time.Second
	// callerLimit is the time limit of the callers of the small sites.
	callerLimit = 1500 * time.Millisecond
	// resendDelay is resend_ms: when a caller without an answer sends its job again.
	resendDelay = 1300 * time.Millisecond
	// workerCPU and taskRunTime are like those of the small sites. Tasks of a job whose spec
	// begins with standin.SlowSpecPrefix run eight times as long.
	workerCPU   = 16000
	taskRunTime = 600 * time.Millisecond
)

// rig holds the processes and stand-ins of one case.
type rig struct {
	program string
	dir     string
	trouble bool
	start   time.Time

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	logs      []*os.File
	store     netip.AddrPort
	gateways  []*gateway
	workers   []*worker
	// running holds, for each task, the runs that workers have started and not ended.
	running map[string][]taskRun
	// startsOf and orders count what workers were ordered to do.
	startsOf           map[string]int
	orders, unanswered int
	overlaps           int
	// judged is set at the end of the case. What happens later is not recorded.
	judged bool
}

// taskRun is a run at a worker.
type taskRun struct {
	worker string
	number uint64
}

// gateway is a gateway process.
type gateway struct {
	name                        string
	callers, ready, link, admin netip.AddrPort
	// front is where callers connect: the address of the gateway, or of a forwarder before it.
	front netip.AddrPort
}

// worker is a stand-in for a worker with its sidecar process.
type worker struct {
	id string
	// control is where the sidecar takes the worker's status reports.
	control netip.AddrPort
	// end ends the worker and all that runs on it.
	end context.CancelFunc
	// draining is set while the worker reports that it drains, left once it has deregistered.
	draining, left bool
	// late, if set, says for how long an order is held back that gets no answer. Zero means
	// that the order is passed on at once.
	late func(path string) time.Duration
}

func newRig(program, recordFile string, trouble bool) (*rig, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, dir: dir, trouble: trouble, record: record, start: time.Now(), running: make(map[string][]taskRun), startsOf: make(map[string]int)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.logf("disruption: %t", trouble)
	return r, nil
}

// close ends all that the rig has started.
func (r *rig) close() {
	for _, p := range r.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	r.cancel()
	ended := make(chan struct{})
	go func() {
		r.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
	}
	for _, log := range r.logs {
		_ = log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
}

// logf writes a line to the record, with the time since the start.
func (r *rig) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
}

// spawn runs f in a goroutine that close waits for.
func (r *rig) spawn(f func()) {
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		f()
	}()
}

// The ports of the processes are below those that the system gives to outgoing connections, so that
// none of them is taken between its choice and the start of its process.
const (
	firstPort = 20000
	portCount = 12000
)

// usedPorts holds the ports that freeAddr has returned or found in use.
var usedPorts = make(map[uint16]bool)

// freeAddr returns a loopback address with a free port.
func freeAddr() (netip.AddrPort, error) {
	for range 1000 {
		port := uint16(firstPort + rand.IntN(portCount))
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

// startStore starts the store and writes the first manifest.
func (r *rig) startStore() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.store = ln.Addr().(*net.TCPAddr).AddrPort()
	s := &standin.Store{}
	s.PutManifest(1, standin.Prefix)
	r.spawn(func() { _ = s.Run(r.ctx, ln) })
	return nil
}

// startProcess writes the settings of a process as the deploy file's template has them, and
// starts it with the command of the deploy file.
func (r *rig) startProcess(role, name string, settings map[string]any) error {
	settings["role"], settings["name"], settings["data_centre"], settings["grace"] = role, name, standin.Zone, grace.String()
	settings["store"] = r.store.String()
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, name+".jsonc")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return err
	}
	r.logs = append(r.logs, log)
	cmd := exec.Command(r.program, role)
	cmd.Env = append(os.Environ(), "DANDELIONGRADE_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.processes = append(r.processes, cmd)
	return nil
}

// startGateway starts a gateway.
func (r *rig) startGateway(name string) (*gateway, error) {
	g := &gateway{name: name}
	for _, addr := range []*netip.AddrPort{&g.callers, &g.ready, &g.link, &g.admin} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	g.front = g.callers
	r.gateways = append(r.gateways, g)
	return g, r.startProcess("gateway", name, map[string]any{
		"callers": g.callers, "ready": g.ready, "link": g.link, "admin": g.admin, "seeds": []string{g.link.String()}, "seed_link_port": g.link.Port(),
	})
}

// startWorker starts a worker and its sidecar. Orders pass through a proxy, which may hold them
// back.
func (r *rig) startWorker(name string) (*worker, error) {
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	control, err := freeAddr()
	if err != nil {
		return nil, err
	}
	orders, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	behind, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: "i-" + name, control: control}
	r.workers = append(r.workers, w)
	addr := orders.Addr().(*net.TCPAddr).AddrPort()
	reports, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	model := &standin.Worker{
		ID: w.id, Service: standin.Service, Zone: standin.Zone, Addr: addr, Control: reports.Addr().(*net.TCPAddr).AddrPort(),
		CPU: workerCPU, RunTime: taskRunTime, Observer: observer{r},
	}
	ctx, end := context.WithCancel(r.ctx)
	w.end = end
	r.spawn(func() { _ = model.Run(ctx, behind) })
	reportProxy := &http.Server{Handler: r.reportProxy(w)}
	r.spawn(func() { _ = reportProxy.Serve(reports) })
	proxy := &http.Server{Handler: r.orderProxy(w, behind.Addr().String())}
	r.spawn(func() { _ = proxy.Serve(orders) })
	r.spawn(func() {
		<-ctx.Done()
		_ = proxy.Close()
		_ = reportProxy.Close()
	})
	seed := r.gateways[0].link
	return w, r.startProcess("sidecar", "side-"+name, map[string]any{
		"control": control, "worker": addr, "admin": admin, "seeds": []string{seed.String()}, "seed_link_port": seed.Port(),
	})
}

// reportProxy passes on the status reports of a worker. Once the worker drains, they say so, and once
// it has deregistered, there are none.
func (r *rig) reportProxy(w *worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		draining, left := w.draining, w.left
		r.mu.Unlock()
		if left {
			return
		}
		if draining {
			body = bytes.Replace(body, []byte(`"state":"ready"`), []byte(`"state":"draining","remaining_ms":2000`), 1)
		}
		status, err := r.callControl(w, req.Method, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(status)
		_, _ = rw.Write([]byte("{}"))
	})
}

// callControl calls the sidecar of a worker as the worker does, and returns the status.
func (r *rig) callControl(w *worker, method string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(r.ctx, method, "http://"+w.control.String()+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// orderProxy passes orders to a worker. An order that w.late holds back gets no answer and is
// carried out later.
func (r *rig) orderProxy(w *worker, target string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	forward := func(ctx context.Context, req *http.Request, body []byte) (*http.Response, error) {
		out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target+req.URL.Path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		out.Header = req.Header.Clone()
		return transport.RoundTrip(out)
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		late := time.Duration(0)
		r.mu.Lock()
		if w.late != nil {
			late = w.late(req.URL.Path)
		}
		r.orders++
		if late > 0 {
			r.unanswered++
		}
		r.mu.Unlock()
		if late > 0 {
			r.logf("%s leaves %s unanswered and carries it out %s later: %s", w.id, req.URL.Path, late, body)
			r.spawn(func() {
				select {
				case <-time.After(late):
				case <-r.ctx.Done():
					return
				}
				if resp, err := forward(r.ctx, req, body); err == nil {
					r.logf("%s has carried out %s late: status %d", w.id, req.URL.Path, resp.StatusCode)
					_ = resp.Body.Close()
				}
			})
			select {
			case <-req.Context().Done():
			case <-r.ctx.Done():
			}
			panic(http.ErrAbortHandler)
		}
		resp, err := forward(req.Context(), req, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		for key, values := range resp.Header {
			rw.Header()[key] = values
		}
		rw.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(rw, resp.Body)
	})
}

// observer records the runs of workers and finds tasks that run twice at the same time.
type observer struct{ r *rig }

// RunStarted records the start of a run.
func (o observer) RunStarted(worker, task string, number uint64, spec string) {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	o.r.startsOf[task]++
	if !strings.HasPrefix(spec, background) {
		o.r.logf("%s starts task %s run %d", worker, task, number)
	}
	if others := o.r.running[task]; len(others) > 0 {
		o.r.overlaps++
		o.r.logf("TWICE: task %s run %d starts at %s while run %d is at %s", task, number, worker, others[0].number, others[0].worker)
	}
	o.r.running[task] = append(o.r.running[task], taskRun{worker, number})
}

// RunEnded records the end of a run.
func (o observer) RunEnded(worker, task string, number uint64, outcome string) {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	if o.r.judged {
		return
	}
	var left []taskRun
	for _, other := range o.r.running[task] {
		if other != (taskRun{worker, number}) {
			left = append(left, other)
		}
	}
	o.r.running[task] = left
	if o.r.startsOf[task] > 1 || outcome != "done" {
		o.r.logf("%s ends task %s run %d: %s", worker, task, number, outcome)
	}
}

// background is the prefix of the spec of jobs that only keep the system busy.
const background = "background"

// submit sends a job to an address, as a caller that waits for limit, and returns the status, or
// zero if there was no answer.
func (r *rig) submit(to netip.AddrPort, id, spec string, tasks int, limit time.Duration) (int, string) {
	body, err := standin.JobBody(spec, tasks, taskRunTime)
	if err != nil {
		return 0, err.Error()
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

// resendable reports whether a caller sends its job again after an answer.
func resendable(status int) bool {
	return status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// runBackground sends jobs of two tasks at an even rate until the rig is closed, to all gateways
// in turn.
func (r *rig) runBackground(interval time.Duration) {
	r.spawn(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-r.ctx.Done():
				return
			}
			id := fmt.Sprintf("bb%014x", n)
			to := r.gateways[n%len(r.gateways)].front
			r.spawn(func() { r.submit(to, id, background+id, 2, callerLimit) })
		}
	})
}

// startAll starts the store, gateways and workers with their sidecars, and waits until every
// worker has been used.
func (r *rig) startAll(gateways, workers int) error {
	if err := r.startStore(); err != nil {
		return err
	}
	for i := range gateways {
		if _, err := r.startGateway(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range workers {
		if _, err := r.startWorker(fmt.Sprint(i + 1)); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// awaitReady waits until each gateway completes a job whose tasks need all workers.
func (r *rig) awaitReady() error {
	limit := time.Now().Add(20 * time.Second)
	for i, g := range r.gateways {
		for n := 0; ; n++ {
			id := fmt.Sprintf("aa%06x%08x", i, n)
			status, _ := r.submit(g.front, id, background+id, 10*len(r.workers), callerLimit)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return errors.New("the system did not become ready; see the logs")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.logf("ready: %d gateways, %d sidecars", len(r.gateways), len(r.workers))
	return nil
}

// overlapCount ends the record of runs and returns how often a task was started while another run of it was at a worker.
func (r *rig) overlapCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judged = true
	return r.overlaps
}
