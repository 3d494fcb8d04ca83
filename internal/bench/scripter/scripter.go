// Package scripter runs script-driven golden tests of decision code that does no I/O.
// A test case is a txtar file: its comment says what the case covers, its section
// "script" holds one command per line, and its section "output" holds the result of
// each command. The command "at 1.5s" sets the current time, relative to Epoch. Empty
// lines and lines that begin with "#" are ignored. Run the tests with -update to rewrite the
// outputs, and review the difference.
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

// Epoch is the current time at the start of each script.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The sections of a test case.
const (
	scriptSection = "script"
	outputSection = "output"
)

// Step runs one command of a script, split into words, and returns its result as zero
// or more lines.
type Step func(t *testing.T, now time.Time, words []string) string

// Run runs each test case whose file matches the pattern as a subtest. For each case it
// calls newStep, which returns a Step with state of its own.
func Run(t *testing.T, pattern string, newStep func() Step) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no test case matches %s", pattern)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		t.Run(name, func(t *testing.T) { runCase(t, file, newStep()) })
	}
}

// runCase runs one test case and compares the file, with the output section replaced,
// against the golden file.
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
		{Name: outputSection, Data: []byte(runScript(t, string(script), step))},
	}
	golden.Assert(t, string(txtar.Format(archive)), filepath.Base(file))
}

// runScript runs the commands of a script in order and returns each with its result.
func runScript(t *testing.T, script string, step Step) string {
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

// Duration parses a duration in a script, and fails the test if it is invalid.
func Duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// Number parses an integer in a script, and fails the test if it is invalid.
func Number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}
