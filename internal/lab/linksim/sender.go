package linksim

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// errSenders means that the kernel's table of connections could not be read.
const errSenders = failure.Kind("linksim: senders unknown")

const (
	connectionTable = "/proc/net/tcp"
	// Columns of the table: the local address as hexadecimal "IP:port" and the inode of the socket.
	localColumn, inodeColumn = 1, 9
	// noInode is the inode of a connection whose owner has closed it.
	noInode = "0"
)

// senders tells which connections come from some processes of this machine. On loopback all have the same IP number, so
// the kernel's own tables are asked whose socket a connection's far end is.
type senders struct {
	// ports are the local ports of the processes' sockets.
	ports map[int]bool
}

// findSenders reads the sockets of processes. A process that has ended has none.
func findSenders(processes []int) (senders, error) {
	inodes := map[string]bool{}
	for _, process := range processes {
		addSockets(process, inodes)
	}
	ports, err := portsOf(inodes)
	return senders{ports: ports}, err
}

// sent reports whether the far end of a connection is a socket of one of the processes.
func (s senders) sent(near net.Conn) bool {
	remote, isTCP := near.RemoteAddr().(*net.TCPAddr)
	return isTCP && s.ports[remote.Port]
}

func addSockets(process int, inodes map[string]bool) {
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process))
	for _, descriptor := range descriptors {
		target, err := os.Readlink(descriptor)
		if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
}

// portsOf returns the local ports of sockets.
func portsOf(inodes map[string]bool) (map[int]bool, error) {
	table, err := os.Open(connectionTable)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSenders, err)
	}
	defer table.Close()
	ports := map[int]bool{}
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= inodeColumn || columns[inodeColumn] == noInode || !inodes[columns[inodeColumn]] {
			continue
		}
		_, digits, _ := strings.Cut(columns[localColumn], ":")
		port, err := strconv.ParseUint(digits, 16, 16)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSenders, err)
		}
		ports[int(port)] = true
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSenders, err)
	}
	return ports, nil
}
