package selector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
)

func TestSelector(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var s Selector
		return func(t *testing.T, now time.Time, words []string) string { return step(t, &s, now, words) }
	})
}

// step runs one of these commands:
//
//	add ADDRESS...; pin ADDRESS; unpin ADDRESS; failed ADDRESS; expire; list
//	add_range N; choose NAME
//
// The command add_range adds the addresses 10.0.0.1:1 to 10.0.0.N:1, and choose prints the
// number of chosen addresses and their last bytes.
func step(t *testing.T, s *Selector, now time.Time, words []string) string {
	switch words[0] {
	case "add_range":
		for i := range scripter.Number(t, words[1]) {
			s.Add(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1))
		}
		return ""
	case "choose":
		var last []byte
		for _, a := range s.Choose(now, words[1]) {
			last = append(last, a.Addr().As4()[3])
		}
		return fmt.Sprintf("%d: %d", len(last), last)
	}
	var addrs []netip.AddrPort
	for _, w := range words[1:] {
		addr, err := netip.ParseAddrPort(w)
		assert.NilError(t, err)
		addrs = append(addrs, addr)
	}
	switch words[0] {
	case "pin":
		return fmt.Sprintf("new=%t", s.Pin(now, addrs...))
	case "unpin":
		s.Unpin(now, addrs[0])
		return ""
	case "add":
		return fmt.Sprintf("new=%t", s.Add(now, addrs...))
	case "failed":
		return fmt.Sprintf("replaceable=%t", s.MarkFailed(now, addrs[0]))
	case "expire":
		return fmt.Sprintf("expired=%t", s.Expire(now))
	}
	return fmt.Sprint(s.List())
}
