// Package supervisor runs the tasks of a process and waits until they have returned.
package supervisor

// Start runs each task in a goroutine of its own, and returns a function that waits until
// all of them have returned. That function must be called, since a task's goroutine ends
// only when it has been waited for.
func Start(tasks ...func()) (wait func()) {
	done := make(chan struct{})
	for _, task := range tasks {
		go func() {
			task()
			done <- struct{}{}
		}()
	}
	return func() {
		for range tasks {
			<-done
		}
	}
}
