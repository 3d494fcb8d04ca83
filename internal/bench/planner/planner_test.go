package planner

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	page   = "../../../docs/CAPACITY.md"
	begins = "<!-- tables begin -->\n"
	ends   = "<!-- tables end -->\n"
)

// TestPageShowsTables holds docs/CAPACITY.md against the slopes. With -update it
// writes the tables into the page.
func TestPageShowsTables(t *testing.T) {
	src, err := os.ReadFile("../../../docs/slopes.json")
	assert.NilError(t, err)
	var file struct {
		Slopes UnitCosts `json:"slopes"`
	}
	assert.NilError(t, json.Unmarshal(src, &file))
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(text), begins)
	assert.Assert(t, found, "the page has no mark where the tables begin")
	shown, after, found := strings.Cut(rest, ends)
	assert.Assert(t, found, "the page has no mark where the tables end")
	tables := FormatTables(file.Slopes, TargetSize, TargetBounds)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, []byte(before+begins+tables+ends+after), 0o600))
		return
	}
	assert.Equal(t, shown, tables)
}
