package loader

import (
	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// maxRemoteRackFactor bounds the factor for tasks outside the rack of their data.
const maxRemoteRackFactor = 100

// policyFields returns the schema of the optional decisions.
func policyFields(p *specifier.Policy) checker.Schema {
	return checker.Schema{
		checker.Boolean("evacuations", &p.Evacuations, "whether the operator's evacuations of data centres are followed"),
		checker.Boolean("shared_backlog", &p.SharedBacklog, "whether gateways report their backlogs, and freed capacity is shared by them"),
		checker.Boolean("early_refusal", &p.EarlyRefusal, "whether jobs are refused under peak load that cannot meet their latency objectives"),
		checker.Boolean("worker_speeds", &p.WorkerSpeeds, "whether tasks are placed by the learned speeds of workers"),
		checker.Boolean("leave_notice", &p.LeaveNotice, "whether runs are moved that cannot end before their worker leaves"),
		checker.Number("remote_rack_factor", &p.RemoteRackFactor, 1, maxRemoteRackFactor, "how many times as long a task runs outside the rack of its data"),
	}
}
