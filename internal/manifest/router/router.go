// Package router finds the queue of a request in the newest manifest.
package router

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Manifest is one version of the declared queues and their routes. It is immutable.
type Manifest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Version rises with each change, not necessarily by one.
	Version uint64
	Routes  []Route
}

// Route assigns a queue to the requests for a host whose paths have a prefix.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"`

	Host   string
	Prefix string
	Queue  specifier.Queue
}

// Router holds the newest manifest that it was given. The zero value has none. It is not
// safe for concurrent use.
type Router struct {
	manifest Manifest
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]Route
}

// Adopt replaces the current manifest by a newer one, and reports whether m is newer.
func (r *Router) Adopt(m Manifest) bool {
	if m.Version <= r.manifest.Version {
		return false
	}
	hosts := make(map[string][]Route)
	for _, route := range m.Routes {
		hosts[route.Host] = append(hosts[route.Host], route)
	}
	for _, routes := range hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	r.manifest, r.hosts = m, hosts
	return true
}

// Manifest returns the current manifest. Its version is zero before the first call of
// Adopt.
func (r *Router) Manifest() Manifest {
	return r.manifest
}

// Route returns the queue for a host and a path, and the rest of the path after the
// longest prefix that matches. A port in host is ignored. The host is converted to lower
// case, so Route.Host has to be in lower case.
func (r *Router) Route(host, path string) (queue specifier.Queue, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range r.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route.Queue, rest, true
		}
	}
	return specifier.Queue{}, "", false
}
