package demonstrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// DefaultCellConfig returns the configuration of a small cell with the workspace and the
// template of the job.
func DefaultCellConfig(log *zap.Logger, clock identifier.Clock) CellConfig {
	cfg := CellConfig{
		Entries: 2,
		Agents:  3,
		Backend: *loader.DefaultStandInBackend(),
		Entry:   *loader.DefaultEntry(),
		Agent:   *loader.DefaultAgent(),
		Clock:   clock,
		Log:     log,
	}
	cfg.Backend.LongestRun = 300 * time.Millisecond
	cfg.Entry.Refresh = 200 * time.Millisecond
	cfg.Entry.Templates[Template] = &loader.Template{Path: "/stock", Urgent: true, Timeout: 10 * time.Second, Deadline: 30 * time.Second}
	cfg.Entry.Workspaces[Workspace] = &loader.Workspace{Team: "counter", MaxTasks: 130}
	return cfg
}
