package splitter

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSplit(t *testing.T) {
	size := func(n int) int { return n }
	for _, c := range []struct {
		name  string
		items []int
		parts [][]int
	}{
		{"nothing", nil, nil},
		{"one", []int{1}, [][]int{{1}}},
		{"just fits", []int{MaxPartBytes - 1, 1}, [][]int{{MaxPartBytes - 1, 1}}},
		{"one too many", []int{MaxPartBytes - 1, 2, 3}, [][]int{{MaxPartBytes - 1}, {2, 3}}},
		{"larger than a part", []int{1, 2 * MaxPartBytes, 1}, [][]int{{1}, {2 * MaxPartBytes}, {1}}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Split(c.items, size), c.parts) })
	}
}
