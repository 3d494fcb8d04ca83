package dispatcher

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Item is one task that waits for a slot.
type Item struct {
	Task   identifier.Task
	Urgent bool
	// Deadline is when the caller stops waiting for the job.
	Deadline time.Time
}

// Queue holds waiting tasks: urgent ones before all others, and within each
// class one task of each workspace in turn, so that a workspace with a long
// queue delays only itself. It is not safe for use by several goroutines at
// once. The zero value is an empty queue.
type Queue struct {
	urgent class
	normal class
}

// Push adds an item at the end of its workspace's line.
func (q *Queue) Push(it Item) {
	q.class(it.Urgent).push(it, false)
}

// PushFront adds an item before its workspace's line. It is for an item that was
// popped and could not be started.
func (q *Queue) PushFront(it Item) {
	q.class(it.Urgent).push(it, true)
}

// Pop removes the item that is next. Without normal, only an urgent one may be.
func (q *Queue) Pop(normal bool) (Item, bool) {
	if q.urgent.count > 0 {
		return q.urgent.pop(), true
	}
	if normal && q.normal.count > 0 {
		return q.normal.pop(), true
	}
	return Item{}, false
}

// Ready returns the number of waiting items that Pop could return in turn.
func (q *Queue) Ready(normal bool) int {
	if normal {
		return q.Len()
	}
	return q.urgent.count
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.urgent.count + q.normal.count
}

// Ahead returns how many items go before a new one of a workspace, counting
// other workspaces only as far as they take their turns.
func (q *Queue) Ahead(workspace string, urgent bool) int {
	if urgent {
		return q.urgent.ahead(workspace)
	}
	return q.urgent.count + q.normal.ahead(workspace)
}

func (q *Queue) class(urgent bool) *class {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

// class is a ring of workspaces that have waiting items.
type class struct {
	lines map[string]*line
	ring  []*line
	next  int
	count int
}

// line is the waiting items of one workspace; those before head are gone.
type line struct {
	workspace string
	items     []Item
	head      int
}

func (c *class) push(it Item, front bool) {
	if c.lines == nil {
		c.lines = make(map[string]*line)
	}
	l := c.lines[it.Task.Submission.Workspace]
	if l == nil {
		l = &line{workspace: it.Task.Submission.Workspace}
		c.lines[l.workspace] = l
		c.ring = append(c.ring, l)
	}
	if front {
		l.pushFront(it)
	} else {
		l.items = append(l.items, it)
	}
	c.count++
}

func (c *class) pop() Item {
	c.next %= len(c.ring)
	l := c.ring[c.next]
	it := l.pop()
	c.count--
	if l.len() > 0 {
		c.next++
		return it
	}
	delete(c.lines, l.workspace)
	c.ring = append(c.ring[:c.next], c.ring[c.next+1:]...)
	return it
}

func (c *class) ahead(workspace string) int {
	own := 0
	if l := c.lines[workspace]; l != nil {
		own = l.len()
	}
	n := own
	for _, l := range c.ring {
		if l.workspace != workspace {
			n += min(l.len(), own+1)
		}
	}
	return n
}

func (l *line) len() int {
	return len(l.items) - l.head
}

func (l *line) pop() Item {
	it := l.items[l.head]
	l.items[l.head] = Item{}
	l.head++
	if l.head > len(l.items)/2 {
		l.items = append(l.items[:0], l.items[l.head:]...)
		l.head = 0
	}
	return it
}

func (l *line) pushFront(it Item) {
	if l.head > 0 {
		l.head--
		l.items[l.head] = it
		return
	}
	l.items = append([]Item{it}, l.items...)
}
