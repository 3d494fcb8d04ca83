package allocator

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

func TestOfferer(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		o := New(8)
		return func(t *testing.T, _ time.Time, words []string) string { return step(t, o, words) }
	})
}

// step knows these lines: link E, unlink E, use E WAITING, end E, want E WAITING,
// balance E, return E SLOTS, drain.
func step(t *testing.T, o *Allocator, words []string) string {
	words = append(words, "", "")
	e := identifier.Entry(words[1])
	n, _ := strconv.Atoi(words[2])
	var changes []Adjustment
	switch words[0] {
	case "link":
		changes = o.Link(e)
	case "unlink":
		changes = o.Unlink(e)
	case "use":
		return fmt.Sprintf("used %t", o.Use(e, n))
	case "end":
		changes = o.End(e)
	case "want":
		changes = o.Want(e, n)
	case "balance":
		changes = o.Rebalance(e)
	case "return":
		changes = o.Return(e, n)
	case "drain":
		o.Drain()
	default:
		t.Fatalf("unknown step %v", words)
	}
	var lines []string
	for _, c := range changes {
		lines = append(lines, fmt.Sprintf("%s: grant %d, recall %d", c.Entry, c.Grant, c.Recall))
	}
	return strings.Join(lines, "\n")
}

// TestSlotsAreNeverShared checks, under any order of messages, that the slots
// offered, used and free add up, and that what an entry believes it was offered
// never exceeds what the agent holds for it.
func TestSlotsAreNeverShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		o := New(slots)
		entries := []identifier.Entry{"e1", "e2", "e3"}
		believed := make(map[identifier.Entry]int)
		linked := make(map[identifier.Entry]bool)
		running := make(map[identifier.Entry]int)
		apply := func(changes []Adjustment) {
			for _, c := range changes {
				believed[c.Entry] += c.Grant
				// The entry returns what it has, at some time; here at once.
				if c.Recall > 0 {
					n := min(c.Recall, believed[c.Entry])
					believed[c.Entry] -= n
					for _, more := range o.Return(c.Entry, n) {
						believed[more.Entry] += more.Grant
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				if !linked[e] {
					linked[e], believed[e] = true, 0
					apply(o.Link(e))
				}
			case 1:
				linked[e] = false
				believed[e] = 0
				apply(o.Unlink(e))
			case 2:
				if linked[e] && believed[e] > 0 {
					if !o.Use(e, 1) {
						t.Fatalf("%s was offered a slot that is not there", e)
					}
					believed[e]--
					running[e]++
					apply(o.Rebalance(e))
				}
			case 3:
				if running[e] > 0 {
					running[e]--
					apply(o.End(e))
				}
			case 4:
				if linked[e] {
					apply(o.Want(e, 1))
				}
			}
			sum := o.free
			for _, e := range entries {
				sum += believed[e] + running[e]
			}
			if sum != slots {
				t.Fatalf("%d slots are free, offered or used; there are %d", sum, slots)
			}
		}
	})
}
