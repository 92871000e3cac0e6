package jobclient

// WaitBackground waits for the work that nobody waits for, so that a test's steps follow each other.
func (c *Client) WaitBackground() { c.running.Wait() }

// Attempt runs work with a single attempt for each call.
func (c *Client) Attempt(work func()) {
	attempts := c.options.Attempts
	c.options.Attempts = 1
	work()
	c.options.Attempts = attempts
}
