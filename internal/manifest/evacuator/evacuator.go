package evacuator

import (
	"maps"
	"slices"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Read is what a read of the operator's table says of evacuations.
type Read struct {
	// Rows holds the rows in the order in which they were read.
	Rows []Row
	// Whole is set if the whole table was read, at Version. Data centres that are not listed are
	// then not evacuated.
	Whole   bool
	Version uint64
	// Skipped counts the rows of the table that could not be read or name no data centre.
	Skipped int
}

// Evacuator is a set of rows, at most one for each data centre. The zero value is empty. It is
// not safe for concurrent use.
type Evacuator struct {
	rows map[identifier.DataCentre]Row
	// readAt is the version of the latest read of the whole table that skipped no row. Data centres
	// without a row were not evacuated then, whatever older rows say.
	readAt uint64
}

// Adopt adds the rows that are newer than those known of their data centres, and returns them.
// It serves rows that come from other processes, in any order and any number of times. An evacuation
// that a later read of the whole table did not list has been withdrawn: the peer that tells it does not
// know of that, so the withdrawal takes its place and is passed on.
func (e *Evacuator) Adopt(rows []Row) []Row {
	return e.adopt(rows, e.readAt)
}

// adopt adds rows. Evacuations up to the version readAt have been withdrawn unless they are known.
func (e *Evacuator) adopt(rows []Row, readAt uint64) []Row {
	var changed []Row
	for _, r := range rows {
		known, ok := e.rows[r.DataCentre]
		if ok && r.Version <= known.Version {
			continue
		}
		if r.Evacuated && !known.Evacuated && r.Version <= readAt {
			r = Row{DataCentre: r.DataCentre, Version: readAt}
		}
		if e.rows == nil {
			e.rows = make(map[identifier.DataCentre]Row)
		}
		e.rows[r.DataCentre] = r
		changed = append(changed, r)
	}
	return changed
}

// AdoptRead adopts what was read from the store, and returns the rows that have changed. A
// read of the whole table withdraws the evacuations that it does not list, unless they were
// changed after its version: the history between may be lost, and the withdrawal with it.
func (e *Evacuator) AdoptRead(r Read) []Row {
	if !r.Whole {
		return e.Adopt(r.Rows)
	}
	readAt := e.readAt
	if r.Version >= readAt {
		readAt = 0
		if r.Skipped == 0 {
			e.readAt = r.Version
		}
	}
	return append(e.adopt(r.Rows, readAt), e.withdrawUnlisted(r)...)
}

// withdrawUnlisted withdraws the evacuations that a read of the whole table does not list.
func (e *Evacuator) withdrawUnlisted(r Read) []Row {
	var changed []Row
	listed := make(map[identifier.DataCentre]bool)
	for _, row := range r.Rows {
		listed[row.DataCentre] = true
	}
	for _, known := range e.Rows() {
		if known.Evacuated && !listed[known.DataCentre] && known.Version <= r.Version {
			withdrawal := Row{DataCentre: known.DataCentre, Version: r.Version}
			e.rows[known.DataCentre] = withdrawal
			changed = append(changed, withdrawal)
		}
	}
	return changed
}

// Rows returns the rows, sorted by data centre.
func (e *Evacuator) Rows() []Row {
	rows := make([]Row, 0, len(e.rows))
	for _, name := range slices.Sorted(maps.Keys(e.rows)) {
		rows = append(rows, e.rows[name])
	}
	return rows
}

// Evacuated reports whether a data centre is evacuated.
func (e *Evacuator) Evacuated(dataCentre identifier.DataCentre) bool {
	return e.rows[dataCentre].Evacuated
}

// Count returns the number of evacuated data centres.
func (e *Evacuator) Count() int {
	n := 0
	for _, r := range e.rows {
		if r.Evacuated {
			n++
		}
	}
	return n
}
