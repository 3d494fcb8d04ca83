// Package splitter splits lists of records into parts that fit into messages.
package splitter

// MaxPartBytes is the maximum total size of the items in a part. An item that is larger
// forms a part of its own. The value is well below the maximum size of a frame, since
// sizes are estimates.
const MaxPartBytes = 1 << 20

// Split splits items into consecutive parts of at most MaxPartBytes. It returns no part
// for no items.
func Split[T any](items []T, size func(T) int) [][]T {
	var parts [][]T
	start, total := 0, 0
	for i, item := range items {
		n := size(item)
		if i > start && total+n > MaxPartBytes {
			parts = append(parts, items[start:i])
			start, total = i, 0
		}
		total += n
	}
	if start < len(items) {
		parts = append(parts, items[start:])
	}
	return parts
}
