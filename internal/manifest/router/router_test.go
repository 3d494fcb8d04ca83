package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

func TestRouter(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var r Router
		return func(t *testing.T, _ time.Time, words []string) string { return step(t, &r, words) }
	})
}

// step runs one of these commands:
//
//	adopt VERSION [HOST/PREFIX=QUEUE]...
//	route HOST PATH
func step(t *testing.T, r *Router, words []string) string {
	if words[0] == "route" {
		queue, rest, ok := r.Route(words[1], words[2])
		if !ok {
			return "no queue"
		}
		return fmt.Sprintf("%s, rest %q", queue.Name, rest)
	}
	var m Manifest
	_, err := fmt.Sscan(words[1], &m.Version)
	assert.NilError(t, err)
	for _, w := range words[2:] {
		route, queue, _ := strings.Cut(w, "=")
		host, prefix, _ := strings.Cut(route, "/")
		m.Routes = append(m.Routes, Route{Host: host, Prefix: "/" + prefix, Queue: specifier.Queue{Name: queue}})
	}
	return fmt.Sprintf("adopted=%t version=%d", r.Adopt(m), r.Manifest().Version)
}
