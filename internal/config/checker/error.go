package checker

import (
	"fmt"
	"slices"
	"strings"
)

// Error is one error in a settings file, with its position and a remedy.
type Error struct {
	File string
	// Line and Column count from one.
	Line   int
	Column int
	// Path leads to the value, such as templates.stock_lookup.timeout.
	Path    string
	Problem string
	Remedy  string
}

// Error returns the position, the path, the problem and the remedy on one line.
func (e Error) Error() string {
	position := fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	if e.Path != "" {
		position += ": " + e.Path
	}
	return position + ": " + e.Problem + "; " + e.Remedy
}

// ErrorList holds the errors of one or more files.
type ErrorList []Error

// Error returns one line for each error.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l ErrorList) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

func (l ErrorList) sort() {
	slices.SortStableFunc(l, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// closestName returns the name with the least edit distance from the given one, or ""
// if that distance is more than half the length of the given name.
func closestName(given string, names []string) string {
	best, least := "", len(given)/2+1
	for _, name := range names {
		if d := editDistance(given, name); d < least {
			best, least = name, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for k := range row {
		row[k] = k
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for k := range len(b) {
			cost := 1
			if a[i] == b[k] {
				cost = 0
			}
			next := min(row[k]+1, row[k+1]+1, diagonal+cost)
			diagonal, row[k+1] = row[k+1], next
		}
	}
	return row[len(b)]
}
