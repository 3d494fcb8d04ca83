package coordinator

// Ground is why the gateway takes a run as over.
type Ground uint8

// The grounds on which a run is taken as over.
const (
	// Reported means that the agent reported the end.
	Reported Ground = iota + 1
	// ReportedAtAttach means that the agent reported the end on a new link.
	ReportedAtAttach
	// NotListedAtAttach means that the agent did not list the run on a new link.
	NotListedAtAttach
	// AgentRestarted means that the worker obeys a later incarnation of the agent.
	AgentRestarted
	// PermitExpired means that permit and lease have expired since the last permit to the agent, which
	// is not attached.
	PermitExpired
	// RestartExpired means that permit and lease have expired since a later incarnation of the agent
	// was linked.
	RestartExpired

	groundCount
)

var groundNames = [...]string{
	Reported:          "reported",
	ReportedAtAttach:  "reported_at_attach",
	NotListedAtAttach: "not_listed_at_attach",
	AgentRestarted:    "agent_restarted",
	PermitExpired:     "permit_expired",
	RestartExpired:    "restart_expired",
	groundCount:       "",
}

// String returns the name of g in logs and metrics.
func (g Ground) String() string {
	return groundNames[g]
}

// Grounds returns all grounds.
func Grounds() []Ground {
	var all []Ground
	for g := Reported; g < groundCount; g++ {
		all = append(all, g)
	}
	return all
}
