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

func TestExtender(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		e := &Extender{PromiseDuration: time.Second}
		return func(t *testing.T, now time.Time, words []string) string { return step(t, e, now, words) }
	})
}

// step runs one of these commands, where E is the name of an entry:
//
//	new_request E; promise E SEQUENCE DURATION; lease E,...|none
//	request E THEIR-VERSION OUR-VERSION; has_promised E
//	begin_write VERSION; observe VERSION
func step(t *testing.T, e *Extender, now time.Time, words []string) string {
	entry := identifier.Entry(words[1])
	number := func(i int) uint64 {
		n, _ := strconv.ParseUint(words[i], 10, 64)
		return n
	}
	switch words[0] {
	case "new_request":
		return fmt.Sprintf("sequence %d", e.NewRequest(now, entry, 1, 5).Sequence)
	case "promise":
		e.HandlePromise(entry, &Promise{Sequence: number(2), Duration: scripter.Duration(t, words[3])})
		return ""
	case "lease":
		var others []identifier.Entry
		for _, w := range strings.Split(words[1], ",") {
			if w != "none" {
				others = append(others, identifier.Entry(w))
			}
		}
		until, ok := e.Lease(now, others)
		if !ok {
			return "none"
		}
		return "until " + until.Sub(scripter.Epoch).String()
	case "request":
		m := e.HandleRequest(now, entry, &Request{Sequence: 1, Version: number(2)}, number(3))
		return fmt.Sprintf("promise of %s", m.Duration)
	case "has_promised":
		return strconv.FormatBool(e.HasPromised(now, entry))
	case "begin_write":
		e.BeginWrite(number(1))
		return ""
	case "observe":
		e.ObserveVersion(number(1))
		return ""
	}
	t.Fatalf("unknown command %v", words)
	return ""
}
