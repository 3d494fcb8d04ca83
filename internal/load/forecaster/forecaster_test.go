package forecaster

import (
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
)

func TestForecaster(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		var f Forecaster
		return func(t *testing.T, now time.Time, words []string) string { return step(t, &f, now, words) }
	})
}

// step runs one of these commands: started WORK [TIMES], backlog, no_backlog, wait WORK.
func step(t *testing.T, f *Forecaster, now time.Time, words []string) string {
	switch words[0] {
	case "backlog":
		f.SetBacklogged(now, true)
	case "no_backlog":
		f.SetBacklogged(now, false)
	case "started":
		times := 1
		if len(words) > 2 {
			times = scripter.Number(t, words[2])
		}
		for range times {
			f.Started(now, scripter.Duration(t, words[1]))
		}
	case "wait":
		wait, known := f.Wait(now, scripter.Duration(t, words[1]))
		if !known {
			return "unknown"
		}
		return wait.Round(time.Millisecond).String()
	default:
		t.Fatalf("unknown step %q", words[0])
	}
	return ""
}
