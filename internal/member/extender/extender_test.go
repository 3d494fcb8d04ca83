package extender

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

func TestPromiser(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		p := &Extender{PromiseDuration: time.Second}
		return func(t *testing.T, now time.Time, words []string) string { return step(t, p, now, words) }
	})
}

// step knows these lines: ask E, promised E SEQUENCE LENGTH, lease E..., answer E
// THEIR-VERSION OUR-VERSION, spares E, sending VERSION, read VERSION.
func step(t *testing.T, p *Extender, now time.Time, words []string) string {
	entry := identifier.Entry(words[1])
	number := func(i int) uint64 {
		n, _ := strconv.ParseUint(words[i], 10, 64)
		return n
	}
	switch words[0] {
	case "ask":
		return fmt.Sprintf("sequence %d", p.NewRequest(now, entry, 1, 5).Sequence)
	case "promised":
		p.HandlePromise(entry, &Promise{Sequence: number(2), Duration: scripter.Duration(t, words[3])})
		return ""
	case "lease":
		var others []identifier.Entry
		for _, w := range strings.Split(words[1], ",") {
			if w != "none" {
				others = append(others, identifier.Entry(w))
			}
		}
		until, ok := p.Lease(now, others)
		if !ok {
			return "none"
		}
		return "until " + until.Sub(scripter.Epoch).String()
	case "answer":
		m := p.HandleRequest(now, entry, &Request{Sequence: 1, Version: number(2)}, number(3))
		return fmt.Sprintf("promise of %s", m.Duration)
	case "spares":
		return strconv.FormatBool(p.HasPromised(now, entry))
	case "sending":
		p.BeginWrite(number(1))
		return ""
	case "read":
		p.ObserveVersion(number(1))
		return ""
	}
	t.Fatalf("unknown step %v", words)
	return ""
}
