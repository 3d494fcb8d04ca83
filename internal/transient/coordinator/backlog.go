package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/tracker"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// backlogInterval is the shortest time between two backlogs for an agent that differ in the amount
	// of work alone. Under peak load that changes with each start, and messages between data centres
	// are expensive.
	backlogInterval = 100 * time.Millisecond
	// workChangeDivisor is the inverse of the change of the amount of work, in proportion to what was
	// sent last, below which no backlog is sent.
	workChangeDivisor = 8
)

// backlogs holds what is to be reported of the backlog of a gateway.
type backlogs struct {
	// started is the CPU time that the tasks need that were started since the last report.
	started map[rowKey]time.Duration
}

// rowKey names the row of a report.
type rowKey struct {
	service  string
	priority int
}

// noteStarted records that a task of a job was started.
func (b *backlogs) noteStarted(j *job) {
	if b.started == nil {
		b.started = make(map[rowKey]time.Duration)
	}
	b.started[rowKey{j.Queue.Service, j.Queue.Priority}] += taskWork(j)
}

// ReportBacklog returns what waits at this gateway, and what it has started since the last call. Jobs
// that wait for lanes are left out.
func (c *Coordinator) ReportBacklog(now time.Time) []tracker.Row {
	rows := make(map[rowKey]tracker.Row)
	for _, j := range c.waiting {
		if c.confined(j) {
			continue
		}
		key, dueIn := rowKey{j.Queue.Service, j.Queue.Priority}, j.due.Sub(now)
		row, found := rows[key]
		if !found || dueIn < row.DueIn {
			row.DueIn = dueIn
		}
		row.Work += j.work()
		row.Tasks += len(j.pending)
		rows[key] = row
	}
	for key, work := range c.backlogs.started {
		row := rows[key]
		row.Started = work
		rows[key] = row
	}
	clear(c.backlogs.started)
	list := make([]tracker.Row, 0, len(rows))
	for key, row := range rows {
		row.Service, row.Priority = key.service, key.priority
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b tracker.Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}

// Capacity returns the capacity of the available workers that this gateway is linked to.
func (c *Coordinator) Capacity() specifier.Resources {
	var sum specifier.Resources
	for _, a := range c.agents {
		if a.attached && c.available(a) {
			sum = sum.Add(a.status.Capacity)
		}
	}
	return sum
}

// sendBacklog sends the backlog of this gateway to each agent that was sent another one
// before.
func (c *Coordinator) sendBacklog(now time.Time) []Effect {
	open := c.backlog(now, func(j *job) bool { return !c.confined(j) })
	all := open
	if c.quarantine.AnyConfined() {
		all = c.backlog(now, func(*job) bool { return true })
	}
	var names []identifier.Agent
	for _, a := range c.agents {
		backlog := open
		if c.lanes.chosen[a] {
			backlog = all
		}
		if a.attached && a.needsBacklog(now, &backlog) {
			a.sentBacklog, a.backlogSent = backlog, now
			names = append(names, a.name)
		}
	}
	slices.Sort(names)
	var effects []Effect
	for _, name := range names {
		backlog := c.agents[name].sentBacklog
		effects = append(effects, Send{name, &backlog})
	}
	return effects
}

// needsBacklog reports whether a backlog is to be sent to an agent: one that differs from the last in
// the amount of work alone only if it differs clearly, and not within backlogInterval.
func (a *agent) needsBacklog(now time.Time, b *executor.Backlog) bool {
	sent := a.sentBacklog
	if b.Waiting != sent.Waiting || b.Priority != sent.Priority || b.Demand != sent.Demand {
		return true
	}
	return now.Sub(a.backlogSent) >= backlogInterval && (b.Work-sent.Work).Abs()*workChangeDivisor > sent.Work
}

// backlog returns the backlog of this gateway in those jobs that an agent may take. Agents offer
// freed capacity by it when all workers are full. It names the smallest demand, because an offer
// that no task fits into is wasted.
func (c *Coordinator) backlog(now time.Time, mayTake func(*job) bool) executor.Backlog {
	var first *job
	var b executor.Backlog
	for _, j := range c.waiting {
		if !mayTake(j) {
			continue
		}
		if first == nil {
			first = j
			b = executor.Backlog{Waiting: true, Priority: j.rank(), Demand: j.Demand}
			if c.Policy.SharedBacklog {
				// Jobs of one rank are sorted by due time, those that are begun first.
				b.DueIn = j.due.Sub(now)
			}
		}
		if j.late != first.late || j.rank() != first.rank() {
			break
		}
		if j.Demand.FitsIn(b.Demand) {
			b.Demand = j.Demand
		}
		if c.Policy.SharedBacklog {
			b.Work += j.work()
		}
	}
	return b
}
