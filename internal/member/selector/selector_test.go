package selector

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

func TestSelector(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var s Selector
		return func(t *testing.T, now time.Time, words []string) string { return step(t, &s, now, words) }
	})
}

// step runs one of these commands:
//
//	add ADDRESS[@DATA_CENTRE]...; pin ADDRESS; open ADDRESS; close ADDRESS; failed ADDRESS
//	expire; list; add_range N [DATA_CENTRES]; choose NAME [DATA_CENTRE]; surplus NAME [DATA_CENTRE]
//
// The command add_range adds the addresses 10.0.0.1:1 to 10.0.0.N:1, in the data centres dc0,
// dc1 and so on by turns if their number is given. The commands choose and surplus print the
// number of addresses and their last bytes.
func step(t *testing.T, s *Selector, now time.Time, words []string) string {
	switch words[0] {
	case "add_range":
		for i := range scripter.Number(t, words[1]) {
			g := Gateway{Link: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)}
			if len(words) > 2 {
				g.DataCentre = identifier.DataCentre(fmt.Sprintf("dc%d", i%scripter.Number(t, words[2])))
			}
			s.Add(now, g)
		}
		return ""
	case "choose":
		return formatLast(s.Choose(now, parseProcess(words)))
	case "surplus":
		return formatLast(s.Surplus(now, parseProcess(words)))
	}
	var addrs []netip.AddrPort
	var gateways []Gateway
	for _, w := range words[1:] {
		w, dataCentre, _ := strings.Cut(w, "@")
		addr, err := netip.ParseAddrPort(w)
		assert.NilError(t, err)
		addrs = append(addrs, addr)
		gateways = append(gateways, Gateway{Link: addr, DataCentre: identifier.DataCentre(dataCentre)})
	}
	switch words[0] {
	case "pin":
		return fmt.Sprintf("new=%t", len(s.Pin(now, gateways...)) > 0)
	case "open":
		s.Open(now, addrs[0])
		return ""
	case "close":
		s.Close(now, addrs[0])
		return ""
	case "add":
		return fmt.Sprintf("new=%t", len(s.Add(now, gateways...)) > 0)
	case "failed":
		return fmt.Sprintf("replaceable=%t", s.MarkFailed(now, addrs[0]))
	case "expire":
		return fmt.Sprintf("expired=%t", s.Expire(now))
	}
	var listed []string
	for _, g := range s.List() {
		listed = append(listed, g.Link.String()+"@"+string(g.DataCentre))
	}
	return fmt.Sprint(listed)
}

// parseProcess parses the words after a command as a name and a data centre.
func parseProcess(words []string) Process {
	p := Process{Name: words[1]}
	if len(words) > 2 {
		p.DataCentre = identifier.DataCentre(words[2])
	}
	return p
}

// formatLast returns the number of addresses and their last bytes.
func formatLast(addrs []netip.AddrPort) string {
	var last []byte
	for _, a := range addrs {
		last = append(last, a.Addr().As4()[3])
	}
	return fmt.Sprintf("%d: %d", len(last), last)
}
