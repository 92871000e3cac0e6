package jobclient

// WaitBackground waits for the work that nobody waits for, so that a test's steps follow each other.
func (c *Client) WaitBackground() { c.running.Wait() }
