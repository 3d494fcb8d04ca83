package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Name       identifier.Agent
	DataCentre identifier.DataCentre
	// Control is the address to which the worker on the same machine sends its reports,
	// Worker the address at which it accepts orders, Admin the address that serves metrics
	// and health.
	Control, Worker, Admin netip.AddrPort
	Discovery
	Timing connector.Timing
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Policy selects the optional decisions.
	Policy specifier.Policy
	// Contracts holds the contracts that the platform lists. They call for further decisions.
	Contracts []string
}

// DefaultSidecar returns the default settings of a sidecar.
func DefaultSidecar() *Sidecar {
	return &Sidecar{Timing: transientTiming(), Grace: 6 * time.Second}
}

// Role returns RoleSidecar.
func (s *Sidecar) Role() Role { return RoleSidecar }

// Fields returns the schema of the settings file of a sidecar.
func (s *Sidecar) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &s.Name, "the name of this sidecar, unique among all sidecars")),
		checker.Require(checker.Name("data_centre", &s.DataCentre, "the data centre of this sidecar")),
		checker.Require(checker.AddrPort("control", &s.Control, "where the worker on the same machine sends its reports")),
		checker.Require(checker.AddrPort("worker", &s.Worker, "where the worker on the same machine accepts orders")),
		checker.Require(checker.AddrPort("admin", &s.Admin, "where metrics and health are served")),
		checker.Duration("grace", &s.Grace, 100*time.Millisecond, 10*time.Minute, "the time from the signal to stop until the process is killed"),
	}
	fields = append(fields, checker.Names("contracts", &s.Contracts, "the contracts of the deployment, which switch optional decisions on"))
	fields = append(fields, policyFields(&s.Policy)...)
	fields = append(fields, s.Discovery.fields()...)
	return append(fields, timingFields(&s.Timing)...)
}

// Constraints returns the conditions on several fields.
func (s *Sidecar) Constraints() []checker.Constraint {
	return timingConstraints(&s.Timing)
}
