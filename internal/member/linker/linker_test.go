package linker

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
)

// TestWanted checks the choice that is passed to Run after each event, printed as the last
// bytes of the addresses. The gateway itself is not among them.
func TestWanted(t *testing.T) {
	now := time.Unix(0, 0)
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	gateway := func(n byte) selector.Gateway { return selector.Gateway{Link: addr(n), DataCentre: "dc1"} }
	l := New(selector.Process{Name: "gateway-1", DataCentre: "dc1"}, addr(1), func() time.Time { return now })
	l.LearnSeeds(addr(2))
	var out strings.Builder
	show := func(event string) {
		select {
		case peers := <-l.wanted:
			var last []byte
			for _, p := range peers {
				last = append(last, p.Link.Addr().As4()[3])
			}
			fmt.Fprintf(&out, "%s: %d wanted: %d\n", event, len(last), last)
		default:
			fmt.Fprintf(&out, "%s: unchanged\n", event)
		}
	}
	show("a seed")
	l.Learn(gateway(1), selector.Gateway{Link: addr(2)})
	show("known addresses")
	l.Learn(gateway(3))
	l.Learn(gateway(4))
	show("two more")
	l.Linked(addr(4))
	now = now.Add(time.Hour)
	l.Expire()
	show("an hour later, with a link to 4")
	l.Unlinked(addr(4))
	show("the end of that link")
	now = now.Add(time.Hour)
	l.Expire()
	show("an hour after that")
	for n := range byte(30) {
		l.Learn(selector.Gateway{Link: addr(10 + n), DataCentre: identifier.DataCentre(fmt.Sprintf("dc%d", n%3))})
	}
	show("thirty more")
	l.DialFailed(addr(11))
	show("one dial failed")
	fmt.Fprintf(&out, "%d known\n", len(l.Known()))
	golden.Assert(t, out.String(), "wanted.golden")
}

// TestRun checks that a session starts for a chosen gateway, and that Run returns when its
// context ends.
func TestRun(t *testing.T) {
	seed := netip.MustParseAddrPort("10.0.0.2:1")
	l := New(selector.Process{Name: "sidecar-1"}, netip.AddrPort{}, time.Now)
	l.LearnSeeds(seed)
	ctx, stop := context.WithCancel(context.Background())
	dialled := make(chan netip.AddrPort)
	ended := make(chan struct{})
	go func() {
		l.Run(ctx, func(ctx context.Context, p registrar.Peer) bool {
			select {
			case dialled <- p.Link:
			case <-ctx.Done():
			}
			return true
		})
		close(ended)
	}()
	assert.Equal(t, <-dialled, seed)
	stop()
	<-ended
}
