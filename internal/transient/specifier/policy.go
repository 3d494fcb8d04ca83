package specifier

// Policy selects the optional decisions of gateways and sidecars. The zero value selects none.
type Policy struct {
	// Evacuations makes processes follow the operator's evacuations of data centres.
	Evacuations bool
	// SharedBacklog makes gateways report their backlogs, and sidecars share freed capacity by them.
	SharedBacklog bool
	// EarlyRefusal makes gateways refuse jobs that cannot meet their latency objectives under peak
	// load.
	EarlyRefusal bool
	// WorkerSpeeds makes gateways place tasks by the speeds that sidecars have learned.
	WorkerSpeeds bool
	// LeaveNotice makes gateways move the runs that cannot end before their worker leaves.
	LeaveNotice bool
	// RemoteRackFactor is how many times as long a task runs outside the rack of its data. Zero
	// stands for DefaultRemoteRackFactor.
	RemoteRackFactor float64
}

// DefaultRemoteRackFactor applies if the settings name no factor.
const DefaultRemoteRackFactor = 2

// RemoteRack returns how many times as long a task runs outside the rack of its data.
func (p *Policy) RemoteRack() float64 {
	if p.RemoteRackFactor == 0 {
		return DefaultRemoteRackFactor
	}
	return p.RemoteRackFactor
}
