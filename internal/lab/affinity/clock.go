package affinity

import (
	"container/heap"
	"time"
)

// task is something to do at a moment.
type task struct {
	at     time.Time
	number int
	run    func()
}

// clock runs tasks in order of their moments, and of their making within a moment. It implements heap.Interface.
type clock struct {
	now   time.Time
	made  int
	tasks []task
}

func (c *clock) Len() int { return len(c.tasks) }
func (c *clock) Less(i, j int) bool {
	if c.tasks[i].at.Equal(c.tasks[j].at) {
		return c.tasks[i].number < c.tasks[j].number
	}
	return c.tasks[i].at.Before(c.tasks[j].at)
}
func (c *clock) Swap(i, j int)  { c.tasks[i], c.tasks[j] = c.tasks[j], c.tasks[i] }
func (c *clock) Push(added any) { c.tasks = append(c.tasks, added.(task)) }
func (c *clock) Pop() any {
	last := c.tasks[len(c.tasks)-1]
	c.tasks = c.tasks[:len(c.tasks)-1]
	return last
}

// after has a function run once the time has passed.
func (c *clock) after(wait time.Duration, run func()) {
	c.made++
	heap.Push(c, task{at: c.now.Add(wait), number: c.made, run: run})
}

// every has a function run at once and then again each period.
func (c *clock) every(period time.Duration, run func()) {
	c.after(0, func() {
		run()
		c.after(period, func() { c.every(period, run) })
	})
}

// runUntil runs the tasks up to the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.tasks) > 0 && c.tasks[0].at.Before(end) {
		next := heap.Pop(c).(task)
		c.now = next.at
		next.run()
	}
}
