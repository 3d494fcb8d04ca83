// Package simulator proves by random histories that gateways and sidecars together never
// run a task twice at the same time, whatever fails. It drives the deciding code of
// both in virtual time, with links, workers and callers that fail as the platform's do.
package simulator
