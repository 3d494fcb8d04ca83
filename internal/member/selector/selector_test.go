package selector

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
)

func TestLister(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var l Selector
		return func(t *testing.T, now time.Time, words []string) string { return step(t, &l, now, words) }
	})
}

// step knows these lines:
//
//	add ADDRESS...; keep ADDRESS; release ADDRESS; failed ADDRESS; expire; list
//	many N; choose NAME
//
// Many adds the addresses 10.0.0.1:1 to 10.0.0.N:1. Choose shows their last numbers.
func step(t *testing.T, l *Selector, now time.Time, words []string) string {
	switch words[0] {
	case "many":
		for i := range scripter.Number(t, words[1]) {
			l.Add(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1))
		}
		return ""
	case "choose":
		var last []byte
		for _, a := range l.Choose(now, words[1]) {
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
	case "keep":
		return fmt.Sprintf("fresh=%t", l.Pin(now, addrs...))
	case "release":
		l.Unpin(now, addrs[0])
		return ""
	case "add":
		return fmt.Sprintf("fresh=%t", l.Add(now, addrs...))
	case "failed":
		return fmt.Sprintf("another=%t", l.MarkFailed(now, addrs[0]))
	case "expire":
		return fmt.Sprintf("dropped=%t", l.Expire(now))
	}
	return fmt.Sprint(l.List())
}
