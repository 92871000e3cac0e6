package linksim_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/linksim"
)

// echoTarget answers every byte with itself.
func echoTarget(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newLink(t *testing.T) *linksim.Link {
	link, err := linksim.Listen("127.0.0.1:0", echoTarget(t), 1)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, link.Close()) })
	return link
}

func dial(t *testing.T, link *linksim.Link) net.Conn {
	conn, err := net.Dial("tcp", link.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echo(conn net.Conn, text string) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	answer := make([]byte, len(text))
	_, err := io.ReadFull(conn, answer)
	return string(answer), err
}

func TestCutDropsAndRefusesUntilItEnds(t *testing.T) {
	link := newLink(t)
	conn := dial(t, link)
	answer, err := echo(conn, "before")
	assert.NilError(t, err)
	assert.Equal(t, answer, "before")
	assert.NilError(t, link.SetFaults(linksim.Faults{Cut: true}))
	_, err = echo(conn, "during")
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", link.Address())
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	assert.NilError(t, link.SetFaults(linksim.Faults{}))
	answer, err = echo(dial(t, link), "after")
	assert.NilError(t, err)
	assert.Equal(t, answer, "after")
	assert.Equal(t, link.Counters(), linksim.Counters{Connections: 2, BytesToTarget: 11, BytesFromTarget: 11})
}

// The test's own process is the sender.
func TestCutSendersDropsOnlyTheirConnections(t *testing.T) {
	link := newLink(t)
	cut, passing := []int{os.Getpid()}, []int{os.Getppid()}
	conn := dial(t, link)
	_, err := echo(conn, "before")
	assert.NilError(t, err)
	assert.NilError(t, link.SetFaults(linksim.Faults{CutSenders: passing}))
	_, err = echo(conn, "others")
	assert.NilError(t, err)
	_, err = echo(dial(t, link), "others")
	assert.NilError(t, err)
	assert.NilError(t, link.SetFaults(linksim.Faults{CutSenders: cut}))
	_, err = echo(conn, "during")
	assert.Assert(t, err != nil)
	_, err = echo(dial(t, link), "during")
	assert.Assert(t, err != nil)
	assert.NilError(t, link.SetFaults(linksim.Faults{}))
	_, err = echo(dial(t, link), "after")
	assert.NilError(t, err)
}

func TestFreezeHoldsBytesAndNewConnections(t *testing.T) {
	link := newLink(t)
	conn := dial(t, link)
	_, err := echo(conn, "before")
	assert.NilError(t, err)
	assert.NilError(t, link.SetFaults(linksim.Faults{Freeze: true}))
	fresh := dial(t, link)
	for _, frozen := range []net.Conn{conn, fresh} {
		assert.NilError(t, frozen.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = echo(frozen, "held")
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.NilError(t, frozen.SetReadDeadline(time.Time{}))
	}
	assert.NilError(t, link.SetFaults(linksim.Faults{}))
	for _, thawed := range []net.Conn{conn, fresh} {
		answer := make([]byte, len("held"))
		_, err = io.ReadFull(thawed, answer)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "held")
	}
}

// Bounds from below only: a busy machine makes the link slower, never faster.
func TestDelayAndRateHoldBytesBackInOrder(t *testing.T) {
	link := newLink(t)
	conn := dial(t, link)
	assert.NilError(t, link.SetFaults(linksim.Faults{DelayMilliseconds: 20, JitterMilliseconds: 20}))
	sent := make([]byte, 64)
	began := time.Now()
	for index := range sent {
		sent[index] = byte(index)
		_, err := conn.Write(sent[index : index+1])
		assert.NilError(t, err)
	}
	received := make([]byte, len(sent))
	_, err := io.ReadFull(conn, received)
	assert.NilError(t, err)
	assert.DeepEqual(t, received, sent)
	assert.Assert(t, time.Since(began) >= 40*time.Millisecond)

	assert.NilError(t, link.SetFaults(linksim.Faults{BytesPerSecond: 256 << 10}))
	began = time.Now()
	_, err = echo(conn, string(make([]byte, 64<<10)))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 150*time.Millisecond)
}

func TestClosedStreamIsPassedOn(t *testing.T) {
	conn := dial(t, newLink(t))
	_, err := conn.Write([]byte("last"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "last")
}
