package main

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestCommands runs the command lines of each case and compares their output and exit
// codes with the golden file.
func TestCommands(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			script := archive.Files[0]
			var out strings.Builder
			for line := range strings.Lines(string(script.Data)) {
				fmt.Fprintf(&out, "> %s%s", line, runLine(t, strings.Fields(line)))
			}
			archive.Files = []txtar.File{script, {Name: "output", Data: []byte(out.String())}}
			golden.Assert(t, string(txtar.Format(archive)), filepath.Base(file))
		})
	}
}

// runLine runs the program with the given arguments and returns its output and exit code.
func runLine(t *testing.T, args []string) string {
	cmd := exec.CommandContext(context.Background(), testBinary(t), args...)
	cmd.Env = programEnv()
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return fmt.Sprintf("%sexit %d\n", out.String(), cmd.ProcessState.ExitCode())
}

// TestDemo guards against a demo that loses tasks or starts one twice.
func TestDemo(t *testing.T) {
	out := runLine(t, []string{"demo"})
	assert.Assert(t, strings.Contains(out, "complete, 130 tasks"), out)
	assert.Assert(t, strings.Contains(out, "132 tasks started, 0 of them twice"), out)
	assert.Assert(t, strings.HasSuffix(out, "exit 0\n"), out)
}
