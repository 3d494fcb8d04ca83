package dispatcher

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Item is a task that waits for a slot.
type Item struct {
	Task   identifier.Task
	Urgent bool
	// Deadline is when the caller stops waiting for the job.
	Deadline time.Time
}

// Queue holds waiting tasks. Urgent tasks precede all others. Within each class,
// workspaces are served in round-robin order, one task at a time, so that a workspace
// with many waiting tasks delays only its own. It is not safe for concurrent use. The zero
// value is an empty queue.
type Queue struct {
	urgent class
	normal class
}

// Push adds an item at the end of its workspace's queue.
func (q *Queue) Push(item Item) {
	q.class(item.Urgent).push(item, false)
}

// PushFront adds an item at the front of its workspace's queue. It is meant for a task
// that was popped and could not be started.
func (q *Queue) PushFront(item Item) {
	q.class(item.Urgent).push(item, true)
}

// Pop removes and returns the next item. Non-urgent items are considered only if normal
// is set.
func (q *Queue) Pop(normal bool) (Item, bool) {
	if q.urgent.count > 0 {
		return q.urgent.pop(), true
	}
	if normal && q.normal.count > 0 {
		return q.normal.pop(), true
	}
	return Item{}, false
}

// Ready returns the number of items that Pop would return with the same argument.
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

// Ahead returns how many items would precede a new item of a workspace. Of every other
// workspace in its class it counts at most one for each turn of this workspace.
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

// class holds the waiting items of one class, by workspace. The ring is the round-robin
// order of the workspaces that have waiting items.
type class struct {
	byWorkspace map[string]*workspaceQueue
	ring        []*workspaceQueue
	next        int
	count       int
}

// workspaceQueue holds the waiting items of one workspace. The items before head have
// been popped.
type workspaceQueue struct {
	workspace string
	items     []Item
	head      int
}

func (c *class) push(item Item, front bool) {
	if c.byWorkspace == nil {
		c.byWorkspace = make(map[string]*workspaceQueue)
	}
	w := c.byWorkspace[item.Task.Submission.Workspace]
	if w == nil {
		w = &workspaceQueue{workspace: item.Task.Submission.Workspace}
		c.byWorkspace[w.workspace] = w
		c.ring = append(c.ring, w)
	}
	if front {
		w.pushFront(item)
	} else {
		w.items = append(w.items, item)
	}
	c.count++
}

func (c *class) pop() Item {
	c.next %= len(c.ring)
	w := c.ring[c.next]
	item := w.pop()
	c.count--
	if w.len() > 0 {
		c.next++
		return item
	}
	delete(c.byWorkspace, w.workspace)
	c.ring = append(c.ring[:c.next], c.ring[c.next+1:]...)
	return item
}

func (c *class) ahead(workspace string) int {
	own := 0
	if w := c.byWorkspace[workspace]; w != nil {
		own = w.len()
	}
	n := own
	for _, w := range c.ring {
		if w.workspace != workspace {
			n += min(w.len(), own+1)
		}
	}
	return n
}

func (w *workspaceQueue) len() int {
	return len(w.items) - w.head
}

func (w *workspaceQueue) pop() Item {
	item := w.items[w.head]
	w.items[w.head] = Item{}
	w.head++
	if w.head > len(w.items)/2 {
		w.items = append(w.items[:0], w.items[w.head:]...)
		w.head = 0
	}
	return item
}

func (w *workspaceQueue) pushFront(item Item) {
	if w.head > 0 {
		w.head--
		w.items[w.head] = item
		return
	}
	w.items = append([]Item{item}, w.items...)
}
