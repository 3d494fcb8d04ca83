package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestErrors checks every settings file under testdata and compares the errors with the
// golden file.
func TestErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(t, err)
	var out strings.Builder
	for _, file := range files {
		errs := Check(file)
		assert.Assert(t, len(errs) > 0, "%s has no error", file)
		out.WriteString(errs.Error() + "\n\n")
	}
	golden.Assert(t, out.String(), "errors.golden")
}

func TestExamplesHaveNoErrors(t *testing.T) {
	files, err := filepath.Glob("../../../examples/[^l]*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		assert.NilError(t, Check(file).Err())
	}
}

// FuzzSettings checks that no file makes the parser panic.
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
