package loader

import (
	"net/netip"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// Discovery holds the settings by which a process on the users' platform finds the
// gateways.
type Discovery struct {
	// Store is the address of the platform's table store.
	Store netip.AddrPort
	// Seeds are addresses, with any port, of machines that may run a gateway.
	// SeedLinkPort is the link port of the gateways there.
	Seeds        []netip.AddrPort
	SeedLinkPort int
}

func (d *Discovery) fields() checker.Schema {
	return checker.Schema{
		checker.Require(checker.AddrPort("store", &d.Store, "the platform's table store")),
		checker.AddrPorts("seeds", &d.Seeds, "addresses of machines that may run a gateway; their ports are ignored"),
		checker.Integer("seed_link_port", &d.SeedLinkPort, 1, 65535, "the link port of the gateways on the seeds"),
	}
}

// SeedLinkAddrs returns the link addresses of the seeds.
func (d *Discovery) SeedLinkAddrs() []netip.AddrPort {
	links := make([]netip.AddrPort, len(d.Seeds))
	for i, s := range d.Seeds {
		links[i] = netip.AddrPortFrom(s.Addr(), uint16(d.SeedLinkPort))
	}
	return links
}

// transientTiming returns the default timing of links that carry transient jobs. It applies
// to idle links; while there are runs, the agent requests permits at shorter intervals.
func transientTiming() connector.Timing {
	return connector.Timing{HeartbeatInterval: time.Second, SilenceTimeout: 2500 * time.Millisecond, ResponseTimeout: 400 * time.Millisecond}
}
