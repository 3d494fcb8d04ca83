package coordinator

import "time"

// CellBacklog tells what waits at the other gateways and how much they start.
type CellBacklog interface {
	// Waiting returns the CPU time of the tasks that wait at the other gateways for a service, in
	// queues of the given priority or a more urgent one.
	Waiting(now time.Time, service string, priority int) time.Duration
	// Started returns the CPU time that the other gateways have started for a service in each second
	// of the last interval.
	Started(now time.Time, service string) time.Duration
	// Age returns how old the oldest news is that these figures rest on.
	Age(now time.Time) time.Duration
}
