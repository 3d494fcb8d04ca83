package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFaults checks every settings file under testdata and compares the faults.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(t, err)
	var out strings.Builder
	for _, file := range files {
		faults := Check(file)
		assert.Assert(t, len(faults) > 0, "%s has no fault", file)
		out.WriteString(faults.Error() + "\n\n")
	}
	golden.Assert(t, out.String(), "faults.golden")
}

func TestExamplesHaveNoFault(t *testing.T) {
	files, err := filepath.Glob("../../../examples/[^l]*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		assert.NilError(t, Check(file).Err())
	}
}

func FuzzSettings(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(f, err)
	for _, file := range files {
		src, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(src)
	}
	f.Fuzz(func(_ *testing.T, src []byte) {
		Parse("fuzz.jsonc", src, DefaultEntry())
		Parse("fuzz.jsonc", src, DefaultStandInBackend())
	})
}
