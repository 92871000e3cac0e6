package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// childVariable makes this test's program serve as a process of its own.
	childVariable = "MALLOWLATCH_TEST_LISTENER"
	// crowdMemoryMB is the memory of the process's machine.
	crowdMemoryMB     = 96
	crowdConnections  = 400
	crowdHeaderBytes  = 32 << 10
	crowdHeaderMemory = 8 << 20
)

// TestCrowdOfSmallHeadersAtANode guards against heads inside the limit that decode to many times their bytes. A process of its own serves the
// listener; all members of the crowd keep their unfinished heads while an ordinary request is answered, and one after they are gone.
func TestCrowdOfSmallHeadersAtANode(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		serveUntilInputEnds(t)
		return
	}
	address, process := startChild(t)
	ask(t, address)
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for number := 0; head.Len() < crowdHeaderBytes-1024; number++ {
		fmt.Fprintf(&head, "a%x: b\r\n", number)
	}
	var members sync.Map
	var sending sync.WaitGroup
	for range crowdConnections {
		sending.Go(func() {
			connection, err := net.Dial("tcp4", address)
			if err != nil {
				return
			}
			members.Store(connection, true)
			_ = connection.SetDeadline(time.Now().Add(patience))
			_, _ = io.WriteString(connection, head.String())
		})
	}
	sending.Wait()
	ask(t, address)
	members.Range(func(member, _ any) bool { return member.(net.Conn).Close() == nil || true })
	ask(t, address)
	peak := peakMemory(t, process)
	t.Logf("%d MB at the peak", peak>>20)
	assert.Check(t, peak <= crowdMemoryMB<<20, "the process used %d MB of %d", peak>>20, crowdMemoryMB)
}

// ask checks that one ordinary request is answered.
func ask(t *testing.T, address string) {
	t.Helper()
	var last error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
		response, err := client.Get("http://" + address + "/")
		if err == nil {
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			return
		}
		last = err
	}
	t.Fatalf("no ordinary request is answered: %v", last)
}

// startChild starts a process that serves a listener, and returns the listener's address and the process's id.
func startChild(t *testing.T) (string, int) {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	command.Env = append(os.Environ(), childVariable+"=1")
	input, err := command.StdinPipe()
	assert.NilError(t, err)
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(address), command.Process.Pid
}

// serveUntilInputEnds serves a listener, prints its address, and returns when the standard input ends.
func serveUntilInputEnds(t *testing.T) {
	server := start(t, Options{HeaderBytes: crowdHeaderBytes, HeaderTimeout: time.Minute, HeaderMemory: crowdHeaderMemory})
	fmt.Println(server.Address())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// peakMemory returns the most memory that a process had resident, in bytes.
func peakMemory(t *testing.T, process int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found)
	var kilobytes int64
	_, err = fmt.Sscan(rest, &kilobytes)
	assert.NilError(t, err)
	return kilobytes << 10
}
