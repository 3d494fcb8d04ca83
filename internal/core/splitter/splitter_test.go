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
		{"no items", nil, nil},
		{"one item", []int{1}, [][]int{{1}}},
		{"exactly full", []int{MaxPartBytes - 1, 1}, [][]int{{MaxPartBytes - 1, 1}}},
		{"one byte too large", []int{MaxPartBytes - 1, 2, 3}, [][]int{{MaxPartBytes - 1}, {2, 3}}},
		{"item larger than a part", []int{1, 2 * MaxPartBytes, 1}, [][]int{{1}, {2 * MaxPartBytes}, {1}}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Split(c.items, size), c.parts) })
	}
}
