// Package scripter runs golden tests of code that decides. A case is a txtar file
// whose comment says what it shows, with a section "script" of one step a line and
// a section "output" of what each step led to. A line "at 1.5s" sets the present
// time, counted from Epoch. Run the tests with -update to write the outputs anew,
// and read the difference in review.
package scripter

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Epoch is the present time at the start of each script.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The sections of a case.
const (
	scriptSection = "script"
	outputSection = "output"
)

// Step carries out one line of a script and returns what it led to, in any number
// of lines.
type Step func(t *testing.T, now time.Time, words []string) string

// Run runs every case that matches the pattern. Begin returns the steps of a new
// case.
func Run(t *testing.T, pattern string, begin func() Step) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no case matches %s", pattern)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		t.Run(name, func(t *testing.T) { runCase(t, file, begin()) })
	}
}

func runCase(t *testing.T, file string, step Step) {
	src, err := os.ReadFile(file)
	assert.NilError(t, err)
	archive := txtar.Parse(src)
	var script []byte
	for _, section := range archive.Files {
		if section.Name == scriptSection {
			script = section.Data
		}
	}
	archive.Files = []txtar.File{
		{Name: scriptSection, Data: script},
		{Name: outputSection, Data: []byte(run(t, string(script), step))},
	}
	golden.Assert(t, string(txtar.Format(archive)), filepath.Base(file))
}

func run(t *testing.T, script string, step Step) string {
	var out strings.Builder
	now := Epoch
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&out, "> %s\n", line)
		if words[0] == "at" {
			now = Epoch.Add(Duration(t, words[1]))
			continue
		}
		for result := range strings.Lines(step(t, now, words)) {
			out.WriteString("  " + strings.TrimRight(result, "\n") + "\n")
		}
	}
	return out.String()
}

// Duration reads a duration of a script.
func Duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// Number reads a whole number of a script.
func Number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}
