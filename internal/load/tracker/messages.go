// Package tracker keeps track of the work that waits at the gateways of a cell, and of the rate
// at which they start it.
package tracker

import "time"

// Report tells other gateways what waits at a gateway. It holds durations only, because the clocks
// of gateways differ.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Interval is the time since the previous report, in which the work of Row.Started was started.
	Interval time.Duration
	// Rows holds a row for each service and priority with work. Without any, nothing waits.
	Rows []Row
}

// Row is what waits for a service in the queues of one priority.
type Row struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service  string
	Priority int
	// Work is the CPU time that the waiting tasks need, and Tasks their number.
	Work  time.Duration
	Tasks int
	// DueIn is the time until the earliest job is due. It is negative for a late one.
	DueIn time.Duration
	// Started is the CPU time that the tasks started in Interval need.
	Started time.Duration
}
