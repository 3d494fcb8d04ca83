package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// answerRetention is how long an answer is kept. Callers submit a job again within seconds.
const answerRetention = 15 * time.Second

// answerCache holds the answers of the last answerRetention.
type answerCache struct {
	answers map[specifier.JobID]Answer
	// order holds the cached jobs, oldest answer first.
	order []cachedAnswer
}

// cachedAnswer is a cached job and when it was answered.
type cachedAnswer struct {
	id specifier.JobID
	at time.Time
}

// add caches the answer of a job.
func (c *answerCache) add(now time.Time, id specifier.JobID, a Answer) {
	c.expire(now)
	if c.answers == nil {
		c.answers = make(map[specifier.JobID]Answer)
	}
	c.answers[id] = a
	c.order = append(c.order, cachedAnswer{id, now})
}

// find returns the cached answer of a job, if there is one.
func (c *answerCache) find(now time.Time, id specifier.JobID) (Answer, bool) {
	c.expire(now)
	a, ok := c.answers[id]
	return a, ok
}

// expire removes the answers that are older than answerRetention.
func (c *answerCache) expire(now time.Time) {
	for len(c.order) > 0 && now.Sub(c.order[0].at) >= answerRetention {
		delete(c.answers, c.order[0].id)
		c.order = c.order[1:]
	}
}

// Knows reports whether a job was submitted here before: it has no answer yet, its answer is kept, or
// its runs have not ended.
func (c *Coordinator) Knows(now time.Time, id specifier.JobID) bool {
	_, answered := c.answers.find(now, id)
	return answered || c.jobs[id] != nil
}
