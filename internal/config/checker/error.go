package checker

import (
	"fmt"
	"slices"
	"strings"
)

// Error is one thing wrong in a file, with its place and what to do about it.
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

// Error returns the fault on one line.
func (f Error) Error() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path != "" {
		place += ": " + f.Path
	}
	return place + ": " + f.Problem + "; " + f.Remedy
}

// ErrorList is everything wrong in some files.
type ErrorList []Error

// Error returns one fault a line.
func (fs ErrorList) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil when there are none.
func (fs ErrorList) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

func (fs ErrorList) sort() {
	slices.SortStableFunc(fs, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// nearest returns the name that differs least from the given one, if any is near
// enough to be meant.
func nearest(given string, names []string) string {
	best, least := "", len(given)/2+1
	for _, name := range names {
		if d := distance(given, name); d < least {
			best, least = name, d
		}
	}
	return best
}

// distance is the number of letters to insert, delete or replace between a and b.
func distance(a, b string) int {
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
