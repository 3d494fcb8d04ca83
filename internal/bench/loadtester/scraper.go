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

// metricsOf are the metrics of one role, summed over its processes.
type metricsOf map[string]float64

// scraped are the metrics of a cell at one time.
type scraped struct {
	entries, agents metricsOf
}

// scrape reads the metrics of all processes whose ports are known.
func (p *Config) scrape(ctx context.Context) (scraped, error) {
	entries, err := scrapeAll(ctx, addresses(p.EntryAdminAddrs))
	if err != nil {
		return scraped{}, err
	}
	agents, err := scrapeAll(ctx, addresses(p.AgentAdminAddrs))
	return scraped{entries, agents}, err
}

func scrapeAll(ctx context.Context, ports []netip.AddrPort) (metricsOf, error) {
	sum := make(metricsOf)
	c, err := requester.New()
	if err != nil {
		return nil, err
	}
	for _, port := range ports {
		status, body, err := c.Get(ctx, nil, "http://"+port.String()+"/metrics")
		if err != nil || status != 200 {
			return nil, errors.Errorf("read the metrics at %s: status %d, %v; check the admin ports of the load", port, status, err)
		}
		sum.add(body)
	}
	return sum, nil
}

// add reads lines of a name and a value.
func (m metricsOf) add(body []byte) {
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
func (s scraped) since(before scraped) scraped {
	return scraped{s.entries.since(before.entries), s.agents.since(before.agents)}
}

func (m metricsOf) since(before metricsOf) metricsOf {
	growth := make(metricsOf)
	for name, v := range m {
		growth[name] = v - before[name]
	}
	return growth
}
