package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

const (
	// ReportInterval is the shortest time between two reports of a gateway.
	ReportInterval = 100 * time.Millisecond
	// Lifetime is how long a report counts after its arrival: one that is lost does no harm, and
	// that of a gateway that has died counts for a moment only.
	Lifetime = 300 * time.Millisecond
	// maxRows is the largest number of rows of a report.
	maxRows = 8
	// maxBacklog limits the backlog that a gateway can report: all workers are busy with it for that
	// long. Callers hardly wait for longer.
	maxBacklog = 10 * time.Second
	// maxRate is a rate beyond that of any cell, at which the sum of eight rows does not overflow.
	maxRate = 1e6 * time.Second
)

// Tracker holds what one gateway has reported and what it knows of the others. Its decisions address
// a peak at which callers reach gateways unevenly. The zero value is ready for use and, as it knows no
// capacity, takes nothing from reports. A Tracker is not safe for concurrent use.
type Tracker struct {
	// reportedAt is the end of the interval that was reported last, and backlogged is set if work
	// waited then.
	reportedAt time.Time
	backlogged bool
	// own is the last interval of this gateway, and others holds the last report of each other one.
	own    received
	others map[identifier.Entry]received
	// known and linked are the numbers of the other gateways, capacity is that of the workers in
	// millicores.
	known, linked int
	capacity      int
}

// received is the last report of a gateway.
type received struct {
	at   time.Time
	rows []Row
	// interval is the time in which the work of Row.Started was started.
	interval time.Duration
}

// SetCell records how many other gateways are known, how many of them are linked, and the CPU capacity,
// in millicores, of the workers that this gateway can use.
func (t *Tracker) SetCell(known, linked, capacity int) {
	t.known, t.linked, t.capacity = max(known, linked), linked, capacity
}

// Due reports whether ReportInterval has passed since the last interval that was reported.
func (t *Tracker) Due(now time.Time) bool {
	return now.Sub(t.reportedAt) >= ReportInterval
}

// Report ends an interval and returns what to report of it to the other gateways, given what waits and
// what was started. It returns false if nothing waits and the others know that.
func (t *Tracker) Report(now time.Time, rows []Row) (Report, bool) {
	r := Report{Interval: now.Sub(t.reportedAt)}
	if t.reportedAt.IsZero() {
		r.Interval = ReportInterval
	}
	t.reportedAt = now
	if slices.ContainsFunc(rows, func(r Row) bool { return r.Tasks > 0 }) {
		r.Rows = largest(rows)
		t.backlogged = true
		t.own = received{at: now, rows: r.Rows, interval: r.Interval}
		return r, true
	}
	// The others are told once that nothing waits any more.
	ended := t.backlogged
	t.own, t.backlogged = received{}, false
	return r, ended
}

// largest returns at most maxRows rows: those with the most work.
func largest(rows []Row) []Row {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Work+b.Started, a.Work+a.Started) })
	rows = rows[:min(len(rows), maxRows)]
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return rows
}

// Handle records the report of another gateway.
func (t *Tracker) Handle(now time.Time, from identifier.Entry, m *Report) {
	if t.others == nil {
		t.others = make(map[identifier.Entry]received)
	}
	if len(m.Rows) == 0 {
		delete(t.others, from)
		return
	}
	t.others[from] = received{at: now, rows: slices.Clone(m.Rows[:min(len(m.Rows), maxRows)]), interval: m.Interval}
}

// Unlinked drops the report of a gateway that is no longer linked.
func (t *Tracker) Unlinked(gateway identifier.Entry) {
	delete(t.others, gateway)
}

// Waiting returns the CPU time of the tasks that wait at the other gateways for a service, in queues
// of the given priority or a more urgent one.
func (t *Tracker) Waiting(now time.Time, service string, priority int) time.Duration {
	return t.sum(now, t.waitingLimit(), func(_ *received, row *Row) time.Duration {
		if row.Service != service || row.Priority > priority {
			return 0
		}
		return row.Work
	})
}

// Started returns the CPU time that the other gateways have started for a service in each second
// of the last interval.
func (t *Tracker) Started(now time.Time, service string) time.Duration {
	return t.sum(now, t.rateLimit(), func(r *received, row *Row) time.Duration {
		if row.Service != service {
			return 0
		}
		return r.rate(row.Started)
	})
}

// Age returns the time since the arrival of the oldest report that counts.
func (t *Tracker) Age(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, r := range t.others {
		if r.counts(now) {
			age = max(age, now.Sub(r.at))
		}
	}
	return age
}

// Summary is what is known of the backlogs of the cell, for metrics and logs.
type Summary struct {
	// OwnWaiting and OwnStarted are those of this gateway.
	OwnWaiting, OwnStarted time.Duration
	// Gateways is the number of other gateways whose reports count.
	Gateways int
	// Waiting is the CPU time of the tasks that wait there, and Started the CPU time that they start in
	// each second.
	Waiting, Started time.Duration
	// Age is the time since the arrival of the oldest report that counts.
	Age time.Duration
}

// Summary returns what is known of the backlogs of the cell, of all services.
func (t *Tracker) Summary(now time.Time) Summary {
	var s Summary
	for i := range t.own.rows {
		s.OwnWaiting += t.own.rows[i].Work
		s.OwnStarted += t.own.rate(t.own.rows[i].Started)
	}
	for _, r := range t.others {
		if r.counts(now) {
			s.Gateways++
		}
	}
	s.Age = t.Age(now)
	s.Waiting = t.sum(now, t.waitingLimit(), func(_ *received, row *Row) time.Duration { return row.Work })
	s.Started = t.sum(now, t.rateLimit(), func(r *received, row *Row) time.Duration { return r.rate(row.Started) })
	return s
}

// waitingLimit returns the most that a gateway can have waiting.
func (t *Tracker) waitingLimit() time.Duration {
	return t.rateLimit() * time.Duration(maxBacklog/time.Second)
}

// rateLimit returns the most that a gateway can start in a second. The workers of other gateways are
// taken to have the capacity of those of this one.
func (t *Tracker) rateLimit() time.Duration {
	return time.Second * time.Duration(t.capacity) / 1000
}

// sum adds up a figure of the rows of each gateway, up to a limit for each, and takes the gateways that
// are known and not linked for the mean of the others.
func (t *Tracker) sum(now time.Time, limit time.Duration, figure func(*received, *Row) time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, r := range t.others {
		if !r.counts(now) {
			continue
		}
		total := time.Duration(0)
		for i := range r.rows {
			// Each addend is limited, so that the sum does not overflow.
			total = min(total+min(max(figure(&r, &r.rows[i]), 0), limit), limit)
		}
		sum += total
	}
	if t.linked > 0 && t.known > t.linked {
		sum = time.Duration(float64(sum) * float64(t.known) / float64(t.linked))
	}
	return sum
}

// counts reports whether a report counts still.
func (r *received) counts(now time.Time) bool {
	return now.Sub(r.at) < Lifetime
}

// rate returns the work started in a second, given that of the interval.
func (r *received) rate(started time.Duration) time.Duration {
	if r.interval < ReportInterval/2 {
		// An interval that no gateway reports says nothing.
		return 0
	}
	return time.Duration(min(float64(started)/r.interval.Seconds(), float64(maxRate)))
}
