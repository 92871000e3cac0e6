// Package confsim runs many hollow nodes of configuration distribution in one process over a simulated clock, network
// and key-value service. The nodes run the real decision logic (confsync.Core, confsync.Writer); only their I/O is
// simulated. One seed gives one run.
package confsim
