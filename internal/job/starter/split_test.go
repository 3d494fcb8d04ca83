package starter

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/splitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// TestLargeRecordsAreSplit guards against replies to a seal and final reports that
// exceed the size limit of a message when results are large. It also checks that each
// reply and report contains every record exactly once.
func TestLargeRecordsAreSplit(t *testing.T) {
	const records, resultSize = 60, 50_000
	s := &Starter{Incarnation: 1, Retention: time.Hour}
	s.RecordLeaseRequest(scripter.Epoch, "e1", 1)
	s.HandleLeaseReply("e1", &LeaseReply{Sequence: 1, Remaining: time.Hour})
	for i := range records {
		name := task("job#" + strconv.Itoa(i))
		s.Start(scripter.Epoch, "e1", &Start{Incarnation: 1, Epoch: 1, Task: name, Attempt: 1}, true)
		s.End(name, describer.Result{Outcome: describer.Succeeded, Body: make([]byte, resultSize)})
	}
	seen := make(map[int]int)
	check := func(part []Record, last bool) {
		size := 0
		for _, r := range part {
			size += r.size()
			seen[r.Task.Index]++
		}
		assert.Assert(t, size <= splitter.MaxPartBytes)
		assert.Equal(t, last, len(part) == 0)
	}
	for _, m := range s.Seal("e2", &Seal{Incarnation: 1, Claims: []Claim{{Epoch: 2}}}) {
		check(m.Records, m.Last)
	}
	for _, m := range s.FinalReports() {
		check(m.Records, m.Last)
	}
	for i := range records {
		assert.Equal(t, seen[i], 2, "task %d", i)
	}
}
