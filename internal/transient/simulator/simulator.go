// Package simulator tests gateways and sidecars together by simulation. It runs the
// coordinator and the executor in virtual time through random histories, in which links,
// workers and callers fail as they do on the platform, and checks that a task never has
// two runs at the same time.
package simulator
