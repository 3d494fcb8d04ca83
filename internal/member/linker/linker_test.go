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

	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// TestWanted holds which choice waits for the task that dials after each word, by the last
// numbers of the addresses. Of the sixteen one may be the gateway itself.
func TestWanted(t *testing.T) {
	now := time.Unix(0, 0)
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	f := New("gateway-1", addr(1), func() time.Time { return now }, addr(2))
	var out strings.Builder
	show := func(what string) {
		select {
		case peers := <-f.wanted:
			var last []byte
			for _, p := range peers {
				last = append(last, p.Link.Addr().As4()[3])
			}
			fmt.Fprintf(&out, "%s: %d wanted: %d\n", what, len(last), last)
		default:
			fmt.Fprintf(&out, "%s: unchanged\n", what)
		}
	}
	show("a seed")
	f.Learn(addr(1), addr(2))
	show("nothing new")
	f.Learn(addr(3))
	f.Learn(addr(4))
	show("two more")
	f.Linked(addr(4))
	now = now.Add(time.Hour)
	f.Expire()
	show("an hour later, with a link to 4")
	f.Unlinked(addr(4))
	now = now.Add(time.Hour)
	f.Expire()
	show("an hour after its end")
	for n := range byte(30) {
		f.Learn(addr(10 + n))
	}
	show("thirty more")
	f.DialFailed(addr(10))
	show("one not reached")
	fmt.Fprintf(&out, "%d known\n", len(f.Known()))
	golden.Assert(t, out.String(), "wanted.golden")
}

// TestRun shows that sessions are begun for what is chosen.
func TestRun(t *testing.T) {
	seed := netip.MustParseAddrPort("10.0.0.2:1")
	f := New("sidecar-1", netip.AddrPort{}, time.Now, seed)
	ctx, stop := context.WithCancel(context.Background())
	dialled := make(chan netip.AddrPort)
	ended := make(chan struct{})
	go func() {
		f.Run(ctx, func(ctx context.Context, p registrar.Peer) bool {
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
