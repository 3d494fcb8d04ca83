package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerConfig is passed to a worker process as JSON in its only argument.
type workerConfig struct {
	ID, Service, Zone string
	// Addr is where the worker accepts orders, Control is where it sends its reports.
	Addr, Control string
	Labels        []string
	CPU, MemMB    int
	// Record is the file that the worker appends its starts and ends to.
	Record string
	// While the file Unanswered exists, the worker leaves orders to start a task unanswered, and carries
	// them out lateBy later.
	Unanswered string
}

const (
	// maxLease is hold_max_ms of the site.
	maxLease = time.Second
	// reportInterval is heartbeat_ms of the settings.
	reportInterval = 1500 * time.Millisecond
	maxWait        = 2 * time.Second
	lateBy         = 2 * time.Second
	maxEndsListed  = 500
)

// worker emulates a worker with admission check: one process is one boot. A task runs for as long
// as its spec says ("run 8000 ms").
type worker struct {
	cfg  workerConfig
	born time.Time

	mu       sync.Mutex
	fence    uint64
	leaseEnd time.Time
	running  map[string]*run
	// barred holds the highest run number of each task that has ended or was stopped.
	barred  map[string]uint64
	ended   [][]any
	lastEnd int64
	changed chan struct{}
	cpu     int
	mem     int
}

type run struct {
	number   uint64
	demand   [2]int
	started  time.Time
	duration time.Duration
	timer    *time.Timer
}

type order struct {
	Task     string  `json:"task"`
	Run      uint64  `json:"run"`
	Spec     string  `json:"spec"`
	UntilMS  int64   `json:"until_ms"`
	Fence    uint64  `json:"fence"`
	LastSeen int64   `json:"last_seen"`
	WaitMS   int64   `json:"wait_ms"`
	Percent  float64 `json:"percent"`
}

// taskDemand is what each task of the cases needs. Orders do not carry it, and all tasks are alike.
var taskDemand = [2]int{1600, 64}

func runWorker(arg string) error {
	w := &worker{born: time.Now().Truncate(time.Millisecond), running: map[string]*run{}, barred: map[string]uint64{}, changed: make(chan struct{})}
	if err := json.Unmarshal([]byte(arg), &w.cfg); err != nil {
		return err
	}
	w.record("boot", "", 0, "labels="+strings.Join(w.cfg.Labels, ","))
	wake := make(chan os.Signal, 1)
	signal.Notify(wake, syscall.SIGUSR1)
	go w.report(wake)
	go w.expire()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	mux.HandleFunc("POST /pace", w.handle(func(order) (int, map[string]any) { return http.StatusOK, w.body() }))
	return http.ListenAndServe(w.cfg.Addr, mux)
}

// record appends a line to the record. The line is written with one call, so that lines of several
// processes do not mix.
func (w *worker) record(event, task string, number uint64, detail string) {
	f, err := os.OpenFile(w.cfg.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "%s worker=%s born=%d event=%s task=%s run=%d %s\n", stamp(time.Now()), w.cfg.ID, w.born.UnixMilli(), event, task, number, detail)
}

func (w *worker) clockMS() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) body() map[string]any {
	return map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli()}
}

// status returns the body of a status report.
func (cfg *workerConfig) status(born, clockMS int64, state string, seq uint64) map[string]any {
	return map[string]any{
		"service": cfg.Service, "addr": cfg.Addr, "zone": cfg.Zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": map[string]int{"cpu": cfg.CPU, "mem_mb": cfg.MemMB, "gpu": 0}, "labels": cfg.Labels,
		"clock_ms": clockMS, "born": born, "seq": seq,
	}
}

// putStatus sends a status report, and returns the status of the answer, or zero if there is none.
func (cfg *workerConfig) putStatus(report map[string]any) int {
	client := http.Client{Timeout: time.Second}
	b, _ := json.Marshal(report)
	req, _ := http.NewRequest(http.MethodPut, "http://"+cfg.Control+"/instances/"+cfg.ID, bytes.NewReader(b))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// report sends a status report every reportInterval. After a signal on wake the worker drains: it says
// so at once, and goes on serving.
func (w *worker) report(wake <-chan os.Signal) {
	state, acknowledged := "ready", false
	for seq := uint64(1); ; seq++ {
		status := w.cfg.putStatus(w.cfg.status(w.born.UnixMilli(), w.clockMS(), state, seq))
		if state == "draining" && status/100 == 2 && !acknowledged {
			acknowledged = true
			w.record("drain-acknowledged", "", 0, fmt.Sprintf("seq=%d", seq))
		}
		pause := reportInterval
		if status == 0 {
			pause /= 5
		}
		select {
		case <-time.After(pause):
		case <-wake:
			state = "draining"
		}
	}
}

// expire ends all runs when the lease has lapsed.
func (w *worker) expire() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if time.Now().After(w.leaseEnd) {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// handle decodes an order, and refuses one for another worker or with a lower fencing token.
func (w *worker) handle(f func(order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expect-Instance") != w.cfg.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if _, err := os.Stat(w.cfg.Unanswered); err == nil && r.URL.Path == "/run-start" {
			w.record("unanswered", o.Task, o.Run, "")
			time.Sleep(lateBy)
		}
		w.mu.Lock()
		var status int
		var body map[string]any
		if o.Fence < w.fence {
			status, body = w.refuse("fence")
		} else {
			w.fence = o.Fence
			status, body = f(o)
		}
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func (w *worker) refuse(reason string) (int, map[string]any) {
	b := w.body()
	b["reason"] = reason
	return http.StatusConflict, b
}

// extend extends the lease to a time on the worker's clock, by at most maxLease from now.
func (w *worker) extend(untilMS int64) {
	now := time.Now()
	end := now.Add(min(time.Duration(untilMS-w.clockMS())*time.Millisecond, maxLease))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) start(o order) (int, map[string]any) {
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, w.body()
	}
	switch {
	case o.UntilMS <= w.clockMS():
		return w.refuse("late")
	case o.Run <= w.barred[o.Task], w.running[o.Task] != nil:
		w.extend(o.UntilMS)
		return w.refuse("old")
	case w.cpu+taskDemand[0] > w.cfg.CPU, w.mem+taskDemand[1] > w.cfg.MemMB:
		w.extend(o.UntilMS)
		return w.refuse("room")
	}
	w.extend(o.UntilMS)
	ms := 100
	if fields := strings.Fields(o.Spec); len(fields) == 3 && fields[0] == "run" {
		ms, _ = strconv.Atoi(fields[1])
	}
	r := &run{number: o.Run, demand: taskDemand, started: time.Now(), duration: time.Duration(ms) * time.Millisecond}
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == r {
			w.end(o.Task, "done")
		}
	})
	w.running[o.Task] = r
	w.cpu, w.mem = w.cpu+r.demand[0], w.mem+r.demand[1]
	w.record("start", o.Task, o.Run, "labels="+strings.Join(w.cfg.Labels, ","))
	return http.StatusOK, w.body()
}

// end ends the run of a task. The caller holds the lock.
func (w *worker) end(task, how string) {
	r := w.running[task]
	r.timer.Stop()
	delete(w.running, task)
	w.cpu, w.mem = w.cpu-r.demand[0], w.mem-r.demand[1]
	w.barred[task] = max(w.barred[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.number, how, ""})
	w.record("end", task, r.number, "how="+how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(o order) (int, map[string]any) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run {
		w.end(o.Task, "stopped")
	}
	return http.StatusOK, w.body()
}

// hold extends the lease, waits for an end, and lists all runs. The lock is released while it waits.
func (w *worker) hold(o order) (int, map[string]any) {
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	if wait := min(time.Duration(o.WaitMS)*time.Millisecond, maxWait); wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", int(100 * time.Since(r.started) / r.duration), r.demand[0]})
	}
	b := w.body()
	b["running"], b["ended"] = running, append([][]any{}, w.ended[:min(len(w.ended), maxEndsListed)]...)
	return http.StatusOK, b
}
