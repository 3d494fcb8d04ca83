package executor

// CallOutcome is the outcome of a call to a worker.
type CallOutcome uint8

// The outcomes of a call to a worker.
const (
	// Accepted means that the worker carried out the order.
	Accepted CallOutcome = iota + 1
	// Declined means that the order was not carried out and never will be.
	Declined
	// Silent means that there was no answer, or one that does not tell. The order may have been
	// carried out, or may still be.
	Silent
	// Gone means that the worker has exited: another one answered at its address.
	Gone
	// Closed means that nothing listens at the worker's address.
	Closed
	// Restarted means that another incarnation of the worker answered.
	Restarted
	// StaleFence means that the worker refused the order because it has seen a higher
	// fencing token.
	StaleFence
)

var callOutcomeNames = [...]string{Accepted: "accepted", Declined: "declined", Silent: "silent", Gone: "gone", Closed: "closed", Restarted: "restarted", StaleFence: "outdated"}

// String returns the name of o as it appears in logs.
func (o CallOutcome) String() string {
	return callOutcomeNames[o]
}
