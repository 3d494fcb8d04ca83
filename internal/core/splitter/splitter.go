// Package splitter cuts lists of records into parts that fit into messages.
package splitter

// MaxPartBytes is how large a part may be, by the sizes of its items; a larger item is a
// part of its own. It is well below the limit of a frame, since sizes are estimates.
const MaxPartBytes = 1 << 20

// Split returns items in parts, in their order. There is no part for no items.
func Split[T any](items []T, size func(T) int) [][]T {
	var parts [][]T
	begin, total := 0, 0
	for i, item := range items {
		n := size(item)
		if i > begin && total+n > MaxPartBytes {
			parts = append(parts, items[begin:i])
			begin, total = i, 0
		}
		total += n
	}
	if begin < len(items) {
		parts = append(parts, items[begin:])
	}
	return parts
}
