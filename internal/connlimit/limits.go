// Package connlimit bounds what the callers of a listener make a process hold before it has a whole request of theirs: the number of their
// connections, and the memory of the heads of their requests. A new caller is always let in: where a place or memory is short, a connection
// without a whole request is closed for it. A connection with a whole request is never closed.
package connlimit

const (
	// ConnectionBytes is the memory that a connection takes while its request with an ordinary head is served: stacks, buffers and the head.
	ConnectionBytes = 32 << 10
	// memoryShare is the fraction of a process's memory for the connections of callers, headShare that for heads beyond the ordinary.
	memoryShare = 0.2
	headShare   = 0.1
	// fileDescriptors is the number of descriptors that are left for files. Of the others, ownShare is left for the process's own connections;
	// each request may open one more, to a runner.
	fileDescriptors          = 200
	ownShare                 = 1.0 / 8
	descriptorsPerConnection = 2
	// minConnections is the least number of connections that a limit allows.
	minConnections = 16
)

// Limits are upper bounds on what the callers of one listener hold.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeadBytes is the maximum memory of all heads beyond headAllowance each.
	HeadBytes int64
}

// LimitsOf returns the limits of a machine with the given memory in bytes and number of descriptors; zero descriptors mean no limit.
func LimitsOf(memory int64, descriptors int) Limits {
	limits := Limits{
		Connections: int(memoryShare * float64(memory) / ConnectionBytes),
		HeadBytes:   int64(headShare * float64(memory)),
	}
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, ofDescriptors(descriptors))
	}
	limits.Connections = max(limits.Connections, minConnections)
	return limits
}

// ofDescriptors returns the number of connections that a number of descriptors bears.
func ofDescriptors(descriptors int) int {
	usable := float64(descriptors - fileDescriptors)
	return int((1 - ownShare) * usable / descriptorsPerConnection)
}

const (
	// peerShare is the fraction of the usable descriptors for connections of other nodes.
	peerShare = 1.0 / 4
	// messageShare is the fraction of a process's memory for messages of other nodes that have not arrived whole.
	messageShare = 0.25
)

// PeerLimitsOf returns the limits on the connections of other nodes, of a machine with the given memory in bytes and number of descriptors;
// zero descriptors mean no limit.
func PeerLimitsOf(memory int64, descriptors int) Limits {
	limits := Limits{
		Connections: int(memoryShare * float64(memory) / ConnectionBytes),
		HeadBytes:   int64(messageShare * float64(memory)),
	}
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, int(peerShare*float64(descriptors-fileDescriptors)))
	}
	limits.Connections = max(limits.Connections, minConnections)
	return limits
}

// headAllowance is the part of ConnectionBytes for the head of a request.
const headAllowance = 16 << 10

// Decoding is the memory that the beginning of a request takes once it is decoded, or while it arrives.
type Decoding struct {
	// PerByte and PerLine are the bytes of memory for each byte and for each line.
	PerByte, PerLine int64
}

var (
	// HTTPHead is the head of an HTTP request: each header takes entries of two maps, its name and its value.
	HTTPHead = Decoding{PerByte: 4, PerLine: 300}
	// Message is a message of another node, whose buffer doubles as it grows.
	Message = Decoding{PerByte: 2}
)

// memory returns the memory that a number of bytes and lines takes beyond headAllowance.
func (d Decoding) memory(bytes, lines int64) int64 {
	return max(d.PerByte*bytes+d.PerLine*lines-headAllowance, 0)
}
