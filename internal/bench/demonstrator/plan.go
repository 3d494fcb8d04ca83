package demonstrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// DefaultCellConfig returns a small cell with the workspace and the template of the
// demonstration.
func DefaultCellConfig(log *zap.Logger, clock identifier.Clock) CellConfig {
	p := CellConfig{
		Entries: 2,
		Agents:  3,
		Backend: *loader.DefaultStandInBackend(),
		Entry:   *loader.DefaultEntry(),
		Agent:   *loader.DefaultAgent(),
		Clock:   clock,
		Log:     log,
	}
	p.Backend.LongestRun = 300 * time.Millisecond
	p.Entry.Refresh = 200 * time.Millisecond
	p.Entry.Templates[Template] = &loader.Template{Path: "/stock", Urgent: true, Timeout: 10 * time.Second, Deadline: 30 * time.Second}
	p.Entry.Workspaces[Workspace] = &loader.Workspace{Team: "counter", MaxTasks: 130}
	return p
}
