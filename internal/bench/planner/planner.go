// Package planner computes from measured unit costs the resources that each role needs at
// a given size. The page docs/CAPACITY.md contains its tables, and a test compares them, so
// that the page cannot become stale when the costs change.
package planner

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// UnitCosts are measured costs. docs/slopes.json holds them, with the runs that they were
// measured in.
type UnitCosts struct {
	// EntryMicrosPerStart and AgentMicrosPerStart are the processor time for each
	// started task, summed over all processes of a role, in microseconds. They cover the
	// whole path, including HTTP.
	EntryMicrosPerStart float64 `json:"entry_cpu_us_per_start"`
	AgentMicrosPerStart float64 `json:"agent_cpu_us_per_start"`
	// EntryIdleMicros is the processor time of an idle entry, EntryMicrosPerLink that of
	// an entry for each linked agent, and AgentMicrosPerLink that of an agent for each
	// linked entry, all in microseconds per second.
	EntryIdleMicros    float64 `json:"entry_idle_cpu_us_per_second"`
	EntryMicrosPerLink float64 `json:"entry_cpu_us_per_second_per_agent"`
	AgentMicrosPerLink float64 `json:"agent_cpu_us_per_second_per_entry"`
	// IdentityBytes is the memory of an identity that its owner retains, without the
	// results, and TaskBytes that of each of its tasks in addition. RecordBytes is the
	// memory of the record of a start that an agent retains.
	IdentityBytes float64 `json:"identity_bytes"`
	TaskBytes     float64 `json:"identity_bytes_per_task"`
	RecordBytes   float64 `json:"record_bytes"`
	// EntryBaseMB and AgentBaseMB are the resident memory of a process without jobs or
	// records, in megabytes.
	EntryBaseMB float64 `json:"entry_base_mb"`
	AgentBaseMB float64 `json:"agent_base_mb"`
	// The sizes of the messages on a link, in bytes, without inputs and results.
	StartBytes        float64 `json:"start_message_bytes"`
	EndedBytes        float64 `json:"ended_message_bytes"`
	LeaseRequestBytes float64 `json:"ask_lease_message_bytes"`
	LeaseReplyBytes   float64 `json:"lease_message_bytes"`
	HeartbeatBytes    float64 `json:"heartbeat_message_bytes"`
	// WastedPerStart is the number of messages per start that carry neither a start nor
	// the end of a task.
	WastedPerStart float64 `json:"wasted_messages_per_start"`
}

// Size is the size of a deployment and its load.
type Size struct {
	Workers         int
	StartsPerSecond float64 // at the peak
	TasksPerJob     float64
	Cells           int
	EntriesPerCell  int
	// RestartsPerDay is the number of workers that are restarted or replaced in a day.
	RestartsPerDay float64
	// ConfigChangesPerDay is the number of changes to the configuration in a day.
	ConfigChangesPerDay float64
	Retention           time.Duration
	RefreshInterval     time.Duration
	HeartbeatInterval   time.Duration
}

// Bounds limit the overhead of an agent on its worker and the load on the table service.
type Bounds struct {
	// CorePercent, in percent of one core, MemoryMB and BytesPerSecond are for one agent.
	CorePercent    float64
	MemoryMB       float64
	BytesPerSecond float64
	// ReadsPerSecond and WritesPerSecond are the capacity of the table service.
	ReadsPerSecond, WritesPerSecond float64
}

// TargetSize is the size that the system is designed for. Each data centre is a cell.
var TargetSize = Size{
	Workers: 24_000, StartsPerSecond: 550_000, TasksPerJob: 130, Cells: 15, EntriesPerCell: 8,
	RestartsPerDay: 8_100, ConfigChangesPerDay: 47_000,
	Retention: 15 * time.Minute, RefreshInterval: 500 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond,
}

// TargetBounds are the bounds at TargetSize.
var TargetBounds = Bounds{CorePercent: 1.1, MemoryMB: 128, BytesPerSecond: 5_000, ReadsPerSecond: 2_000, WritesPerSecond: 300}

const secondsPerDay = 24 * 60 * 60

// row is one row of a table.
type row struct {
	quantity string
	value    float64
	unit     string
	bound    float64 // 0 means that there is none
	basis    string
}

// FormatTables returns the tables of docs/CAPACITY.md in Markdown.
func FormatTables(costs UnitCosts, size Size, bounds Bounds) string {
	var out strings.Builder
	writeTable(&out, "Agent, on each worker", agentRows(costs, size, bounds))
	writeTable(&out, "Entry", entryRows(costs, size))
	writeTable(&out, "Table service, for all cells together", tableRows(size, bounds))
	return out.String()
}

// writeTable writes a heading and a table.
func writeTable(out *strings.Builder, title string, rows []row) {
	fmt.Fprintf(out, "### %s\n\n| what | at that size | bound | worked out from |\n|---|---|---|---|\n", title)
	for _, r := range rows {
		bound := ""
		if r.bound > 0 {
			bound = fmt.Sprintf("%s %s, kept", formatNumber(r.bound), r.unit)
			if r.value > r.bound {
				bound = fmt.Sprintf("%s %s, **MISSED**", formatNumber(r.bound), r.unit)
			}
		}
		fmt.Fprintf(out, "| %s | %s %s | %s | %s |\n", r.quantity, formatNumber(r.value), r.unit, bound, r.basis)
	}
	out.WriteString("\n")
}

// formatNumber formats v with three significant digits, but at most four decimals, and
// without decimals from 100 on.
func formatNumber(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	digits := 2 - int(math.Floor(math.Log10(max(v, 0.001))))
	return fmt.Sprintf("%.*f", min(max(digits, 0), 4), v)
}

// agentRows computes the needs of one agent. A worker has one agent.
func agentRows(costs UnitCosts, size Size, bounds Bounds) []row {
	starts := size.StartsPerSecond / float64(size.Workers)
	links := float64(size.EntriesPerCell)
	heartbeats := 1 / size.HeartbeatInterval.Seconds()
	cpu := (starts*costs.AgentMicrosPerStart + links*costs.AgentMicrosPerLink) / 1e6 * 100
	records := starts * size.Retention.Seconds()
	bytesPerStart := costs.StartBytes + costs.EndedBytes + costs.WastedPerStart*costs.HeartbeatBytes*2
	bytesPerLink := heartbeats * (costs.LeaseRequestBytes + costs.LeaseReplyBytes)
	return []row{
		{"starts", starts, "a second", 0, "all starts over all workers"},
		{"links", links, "", 0, "one to each entry of the cell"},
		{"processor", cpu, "% of a core", bounds.CorePercent, "processor per start and per link"},
		{"records of starts", records, "", 0, "starts over the retention"},
		{"memory", costs.AgentBaseMB + records*costs.RecordBytes/1e6, "MB", bounds.MemoryMB, "a bare process and the records"},
		{"bytes for starts", starts * bytesPerStart, "a second", 0, "start and end, without inputs and results"},
		{"bytes for links", links * bytesPerLink, "a second", 0, "lease questions and answers at each heartbeat"},
		{"bytes", starts*bytesPerStart + links*bytesPerLink, "a second", bounds.BytesPerSecond, "both"},
	}
}

// entryRows computes the needs of one entry. The entries of a cell share its load equally.
func entryRows(costs UnitCosts, size Size) []row {
	agents := float64(size.Workers) / float64(size.Cells)
	starts := size.StartsPerSecond / float64(size.Cells*size.EntriesPerCell)
	cores := (starts*costs.EntryMicrosPerStart + costs.EntryIdleMicros + agents*costs.EntryMicrosPerLink) / 1e6
	identities := starts / size.TasksPerJob * size.Retention.Seconds()
	identityBytes := costs.IdentityBytes + size.TasksPerJob*costs.TaskBytes
	return []row{
		{"agents linked", agents, "", 0, "all of its cell"},
		{"starts", starts, "a second", 0, "the cell's, shared by its entries"},
		{"processor", cores, "cores", 0, "processor per start, per link, and idle"},
		{"identities", identities, "", 0, "jobs over the retention"},
		{"memory", costs.EntryBaseMB + identities*identityBytes/1e6, "MB", 0, "a bare process and the identities, without results"},
		{"seal of all agents", agents * costs.EndedBytes / 1e3, "kB", 0, "one message each way, before the records"},
		{"records in a takeover", starts * size.Retention.Seconds(), "", 0, "the starts of the entry that died, over the retention"},
	}
}

// tableRows computes the load on the table service, which all cells share.
func tableRows(size Size, bounds Bounds) []row {
	entries := float64(size.Cells * size.EntriesPerCell)
	workersPerCell := float64(size.Workers) / float64(size.Cells)
	return []row{
		{"reads by entries", entries / size.RefreshInterval.Seconds(), "a second", bounds.ReadsPerSecond, "each reads its cell's assignment at each refresh"},
		{"writes by agents", 2 * size.RestartsPerDay / secondsPerDay, "a second", bounds.WritesPerSecond, "two for each restart: joined, left"},
		{"writes of configuration", size.ConfigChangesPerDay / secondsPerDay, "a second", bounds.WritesPerSecond, "one for each change; not built"},
		{"reads when an entry dies", workersPerCell * 1.5, "within 2 s", 2 * bounds.ReadsPerSecond, "each agent of the cell looks for a newer list, at varied pauses"},
		{"writes when a data centre returns", workersPerCell, "in all", 0, "one for each agent"},
		{"time for these", workersPerCell / bounds.WritesPerSecond, "s", 0, "at the writes that the table takes"},
	}
}
