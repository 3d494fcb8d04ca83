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

func TestAllocator(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func() scripter.Step {
		a := New(8)
		return func(t *testing.T, _ time.Time, words []string) string { return step(t, a, words) }
	})
}

// step runs one of these commands:
//
//	link ENTRY; unlink ENTRY; use ENTRY WAITING; end ENTRY; want ENTRY WAITING
//	rebalance ENTRY; return ENTRY SLOTS; drain
func step(t *testing.T, a *Allocator, words []string) string {
	words = append(words, "", "")
	e := identifier.Entry(words[1])
	n, _ := strconv.Atoi(words[2])
	var adjustments []Adjustment
	switch words[0] {
	case "link":
		adjustments = a.Link(e)
	case "unlink":
		adjustments = a.Unlink(e)
	case "use":
		return fmt.Sprintf("used %t", a.Use(e, n))
	case "end":
		adjustments = a.End(e)
	case "want":
		adjustments = a.Want(e, n)
	case "rebalance":
		adjustments = a.Rebalance(e)
	case "return":
		adjustments = a.Return(e, n)
	case "drain":
		a.Drain()
	default:
		t.Fatalf("unknown command %v", words)
	}
	var lines []string
	for _, c := range adjustments {
		lines = append(lines, fmt.Sprintf("%s: grant %d, recall %d", c.Entry, c.Grant, c.Recall))
	}
	return strings.Join(lines, "\n")
}

// TestSlotsAddUp guards against slots that are lost or granted twice. It checks, for
// random sequences of messages, that the free, granted and used slots add up to the
// total, and that an entry never holds more slots than the agent has granted to it.
func TestSlotsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		a := New(slots)
		entries := []identifier.Entry{"e1", "e2", "e3"}
		held := make(map[identifier.Entry]int)
		linked := make(map[identifier.Entry]bool)
		running := make(map[identifier.Entry]int)
		apply := func(adjustments []Adjustment) {
			for _, c := range adjustments {
				held[c.Entry] += c.Grant
				// An entry returns slots at some later time; in this test, at once.
				if c.Recall > 0 {
					n := min(c.Recall, held[c.Entry])
					held[c.Entry] -= n
					for _, more := range a.Return(c.Entry, n) {
						held[more.Entry] += more.Grant
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				if !linked[e] {
					linked[e], held[e] = true, 0
					apply(a.Link(e))
				}
			case 1:
				linked[e] = false
				held[e] = 0
				apply(a.Unlink(e))
			case 2:
				if linked[e] && held[e] > 0 {
					if !a.Use(e, 1) {
						t.Fatalf("the agent has no slot granted to %s, which holds one", e)
					}
					held[e]--
					running[e]++
					apply(a.Rebalance(e))
				}
			case 3:
				if running[e] > 0 {
					running[e]--
					apply(a.End(e))
				}
			case 4:
				if linked[e] {
					apply(a.Want(e, 1))
				}
			}
			sum := a.freeSlots
			for _, e := range entries {
				sum += held[e] + running[e]
			}
			if sum != slots {
				t.Fatalf("%d slots are free, granted or used; want %d", sum, slots)
			}
		}
	})
}
