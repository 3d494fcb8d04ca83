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
	pagePath  = "../../../docs/CAPACITY.md"
	beginMark = "<!-- tables begin -->\n"
	endMark   = "<!-- tables end -->\n"
)

// TestPageShowsTables checks that docs/CAPACITY.md contains the tables that follow from the
// costs in docs/slopes.json. With -update it writes the tables into the page.
func TestPageShowsTables(t *testing.T) {
	src, err := os.ReadFile("../../../docs/slopes.json")
	assert.NilError(t, err)
	var file struct {
		Costs UnitCosts `json:"slopes"`
	}
	assert.NilError(t, json.Unmarshal(src, &file))
	text, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(text), beginMark)
	assert.Assert(t, found, "docs/CAPACITY.md lacks the mark where the tables begin")
	shown, after, found := strings.Cut(rest, endMark)
	assert.Assert(t, found, "docs/CAPACITY.md lacks the mark where the tables end")
	tables := FormatTables(file.Costs, TargetSize, TargetBounds)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pagePath, []byte(before+beginMark+tables+endMark+after), 0o600))
		return
	}
	assert.Equal(t, shown, tables)
}
