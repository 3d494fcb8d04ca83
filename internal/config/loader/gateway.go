package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	Name       identifier.Entry
	DataCentre identifier.DataCentre
	// Callers is the address for requests of callers, Ready the address for readiness
	// checks of the load balancer, Link the address for connections of other processes of
	// the system, Admin the address that serves metrics and health.
	Callers, Ready, Link, Admin netip.AddrPort
	// Advertised is the address that forwards to Link, if other processes cannot connect
	// to Link itself. The zero value stands for Link.
	Advertised netip.AddrPort
	Discovery
	Timing connector.Timing
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Policy selects the optional decisions.
	Policy specifier.Policy
	// Contracts holds the contracts that the platform lists. They call for further decisions.
	Contracts []string
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() *Gateway {
	return &Gateway{Timing: transientTiming(), Grace: 6 * time.Second}
}

// LinkAddr returns the address to which other processes connect.
func (g *Gateway) LinkAddr() netip.AddrPort {
	if g.Advertised.IsValid() {
		return g.Advertised
	}
	return g.Link
}

// Role returns RoleGateway.
func (g *Gateway) Role() Role { return RoleGateway }

// Fields returns the schema of the settings file of a gateway.
func (g *Gateway) Fields() checker.Schema {
	fields := checker.Schema{
		checker.Require(checker.Name("name", &g.Name, "the name of this gateway, unique among all gateways")),
		checker.Require(checker.Name("data_centre", &g.DataCentre, "the data centre of this gateway")),
		checker.Require(checker.AddrPort("callers", &g.Callers, "where callers submit jobs")),
		checker.Require(checker.AddrPort("ready", &g.Ready, "where the load balancer checks readiness")),
		checker.Require(checker.AddrPort("link", &g.Link, "where agents and other gateways connect")),
		checker.AddrPort("link_advertised", &g.Advertised, "where agents and other gateways connect instead, if connections to link are forwarded"),
		checker.Require(checker.AddrPort("admin", &g.Admin, "where metrics and health are served")),
		checker.Duration("grace", &g.Grace, 100*time.Millisecond, 10*time.Minute, "the time from the signal to stop until the process is killed"),
	}
	fields = append(fields, checker.Names("contracts", &g.Contracts, "the contracts of the deployment, which switch optional decisions on"))
	fields = append(fields, policyFields(&g.Policy)...)
	fields = append(fields, g.Discovery.fields()...)
	return append(fields, timingFields(&g.Timing)...)
}

// Constraints returns the conditions on several fields.
func (g *Gateway) Constraints() []checker.Constraint {
	return timingConstraints(&g.Timing)
}
