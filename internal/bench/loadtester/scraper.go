package loadtester

import (
	"bufio"
	"bytes"
	"context"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/front/requester"
)

// roleMetrics holds the metrics of one role by name, summed over its processes.
type roleMetrics map[string]float64

// cellMetrics holds the metrics of a cell at one time, or their growth between two times.
type cellMetrics struct {
	entries, agents roleMetrics
}

// scrape reads the metrics of all processes in EntryAdminAddrs and AgentAdminAddrs.
func (cfg *Config) scrape(ctx context.Context) (cellMetrics, error) {
	entries, err := scrapeAll(ctx, sortedAddrs(cfg.EntryAdminAddrs))
	if err != nil {
		return cellMetrics{}, err
	}
	agents, err := scrapeAll(ctx, sortedAddrs(cfg.AgentAdminAddrs))
	return cellMetrics{entries, agents}, err
}

// scrapeAll reads the metrics at the given addresses and sums them.
func scrapeAll(ctx context.Context, addrs []netip.AddrPort) (roleMetrics, error) {
	sum := make(roleMetrics)
	c, err := requester.New()
	if err != nil {
		return nil, err
	}
	for _, addr := range addrs {
		status, body, err := c.Get(ctx, nil, "http://"+addr.String()+"/metrics")
		if err != nil || status != 200 {
			return nil, errors.Errorf("read the metrics at %s: status %d, %v; check entry_admins and agent_admins in the settings of the load test", addr, status, err)
		}
		sum.add(body)
	}
	return sum, nil
}

// add adds metrics in the Prometheus text format. It skips comments and other lines that
// are not a name and a number.
func (m roleMetrics) add(body []byte) {
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			m[name] += v
		}
	}
}

// since returns the growth of every metric.
func (m cellMetrics) since(before cellMetrics) cellMetrics {
	return cellMetrics{m.entries.since(before.entries), m.agents.since(before.agents)}
}

// since returns the growth of every metric.
func (m roleMetrics) since(before roleMetrics) roleMetrics {
	growth := make(roleMetrics)
	for name, v := range m {
		growth[name] = v - before[name]
	}
	return growth
}
