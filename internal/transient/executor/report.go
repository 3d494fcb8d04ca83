package executor

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// WorkerReport is the description that a worker sends of itself with each heartbeat.
type WorkerReport struct {
	WorkerIncarnation
	Addr     netip.AddrPort
	Service  string
	Zone     string
	Labels   []string
	Capacity specifier.Resources
	Draining bool
	// ColdFor is how much longer the worker is slow after its start, at the time of the report.
	ColdFor time.Duration
	// Clock is the reading of the worker's clock when the report was sent, as far as the worker's
	// own answers bear it out.
	Clock time.Duration
	// Remaining is the least time until a draining worker leaves, or zero if that is not known.
	Remaining time.Duration
}

// Describes reports whether other says the same of the same incarnation of the worker, the
// reading of its clock and the remaining time aside. How long a worker is cold differs in each
// report; only the end of that counts.
func (r *WorkerReport) Describes(other *WorkerReport) bool {
	return r.WorkerIncarnation.Equal(other.WorkerIncarnation) && r.Addr == other.Addr && r.Service == other.Service && r.Zone == other.Zone &&
		slices.Equal(r.Labels, other.Labels) && r.Capacity == other.Capacity && r.Draining == other.Draining && (r.ColdFor > 0) == (other.ColdFor > 0)
}

// sameKind reports whether the same runs may be given to a worker by both reports, its capacity aside.
func (r *WorkerReport) sameKind(other *WorkerReport) bool {
	return r.Service == other.Service && slices.Equal(r.Labels, other.Labels)
}

// Limits of a report. They are far above what describes a worker, and low enough that a report
// is stored in one row, and that sums over all workers of a cell do not overflow.
const (
	maxNameBytes = 256
	maxLabels    = 64
	maxResource  = 1 << 40
)

// latestStart is the latest start that a stored report can hold.
var latestStart = time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC)

// ForeignReportError reports a description of a worker that is not the one of this agent.
type ForeignReportError struct {
	// Addr is the address in the report, and Want that of the agent's worker.
	Addr, Want netip.AddrPort
}

// Error names both addresses and a remedy.
func (e *ForeignReportError) Error() string {
	return fmt.Sprintf("the report describes a worker at %s, the worker of this agent is at %s; send it to the agent beside that worker", e.Addr, e.Want)
}

// InvalidReportError reports a description that fits no worker.
type InvalidReportError struct {
	// Field is the name of the field that is invalid, and Want says what it must hold.
	Field, Want string
}

// Error names the field and a remedy.
func (e *InvalidReportError) Error() string {
	return fmt.Sprintf("the %s of the report is invalid; send %s", e.Field, e.Want)
}

// check returns an error if the report cannot describe the worker at an address. Reports and
// stored rows may come from other writers.
func (r *WorkerReport) check(addr netip.AddrPort) error {
	switch {
	case r.Addr != addr:
		return &ForeignReportError{Addr: r.Addr, Want: addr}
	case r.StartedAt.UnixMilli() <= 0 || r.StartedAt.After(latestStart):
		return &InvalidReportError{"start time", "when the worker's process started"}
	case r.Service == "":
		return &InvalidReportError{"service", "the name of the worker's service"}
	case len(r.Labels) > maxLabels:
		return &InvalidReportError{"list of labels", fmt.Sprintf("at most %d labels", maxLabels)}
	}
	for _, f := range []struct{ name, value string }{{"name", r.Name}, {"service", r.Service}, {"zone", r.Zone}} {
		if len(f.value) > maxNameBytes {
			return &InvalidReportError{f.name, fmt.Sprintf("at most %d bytes", maxNameBytes)}
		}
	}
	for _, label := range r.Labels {
		if len(label) > maxNameBytes {
			return &InvalidReportError{"label", fmt.Sprintf("at most %d bytes", maxNameBytes)}
		}
	}
	for _, n := range []int{r.Capacity.CPU, r.Capacity.Memory, r.Capacity.Accelerators} {
		if n < 0 || n > maxResource {
			return &InvalidReportError{"capacity", fmt.Sprintf("numbers from 0 to %d", int64(maxResource))}
		}
	}
	return nil
}
