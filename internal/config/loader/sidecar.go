package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Sidecar is the settings of a sidecar.
type Sidecar struct {
	Name       identifier.Agent
	DataCentre identifier.DataCentre
	// Control is where the worker on this machine registers, Worker where it takes
	// orders, Admin where operators look.
	Control, Worker, Admin netip.AddrPort
	Discovery
	Timing connector.Timing
	Grace  time.Duration
}

// DefaultSidecar returns the settings of a sidecar before its file is read.
func DefaultSidecar() *Sidecar {
	return &Sidecar{Timing: quickTiming(), Grace: 6 * time.Second}
}

// Role returns RoleSidecar.
func (s *Sidecar) Role() Role { return RoleSidecar }

// Fields describes the settings file of a sidecar.
func (s *Sidecar) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &s.Name, "the name of this sidecar, unique among all")),
		checker.Require(checker.Name("data_centre", &s.DataCentre, "the data centre that this sidecar is in")),
		checker.Require(checker.AddrPort("control", &s.Control, "where the worker on this machine registers")),
		checker.Require(checker.AddrPort("worker", &s.Worker, "where the worker on this machine takes orders")),
		checker.Require(checker.AddrPort("admin", &s.Admin, "where operators read metrics and health")),
		checker.Duration("grace", &s.Grace, 100*time.Millisecond, 10*time.Minute, "how long after the signal to stop the process is killed"),
	}
	fields = append(fields, s.Discovery.fields()...)
	return append(fields, timingFields(&s.Timing)...)
}

// Constraints are the conditions on several fields.
func (s *Sidecar) Constraints() []checker.Constraint {
	return timingRelations(&s.Timing)
}
