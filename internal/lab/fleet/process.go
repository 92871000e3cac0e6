// Package fleet starts a fleet of separate processes on loopback for the lab: the stand-ins, the nodes, and the faults
// that are done to them from outside (kill, pause, wipe).
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the fleet.
const (
	// ErrNotReady means a process did not answer its readiness check in time; its log tells why.
	ErrNotReady = failure.Kind("fleet: process not ready")
	// ErrNotRunning means the process is not running.
	ErrNotRunning = failure.Kind("fleet: process not running")
)

const (
	readyPollPeriod = 50 * time.Millisecond
	// stopGrace is longer than a node's own bound on all but its drain.
	stopGrace = 60 * time.Second
)

// Process is one program of the fleet. It can be stopped and started again with the same arguments.
type Process struct {
	// Name is unique in the fleet and names the log file.
	Name string
	// ReadyURL answers with a status below 500 once the process serves.
	ReadyURL string

	client    *http.Client
	binary    string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newProcess(name, binary string, arguments []string, logDirectory, readyURL string, client *http.Client) *Process {
	return &Process{
		Name:      name,
		ReadyURL:  readyURL,
		client:    client,
		binary:    binary,
		arguments: arguments,
		logPath:   filepath.Join(logDirectory, name+".log"),
	}
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	defer logFile.Close()
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command = command
	p.exited = make(chan struct{})
	go reap(command, p.exited)
	return nil
}

func reap(command *exec.Cmd, exited chan<- struct{}) {
	// The exit status is in the log; a killed process always has one.
	_ = command.Wait()
	close(exited)
}

// WaitReady waits until the process answers its readiness check.
func (p *Process) WaitReady(ctx context.Context) error {
	if p.ReadyURL == "" {
		return nil
	}
	ticker := time.NewTicker(readyPollPeriod)
	defer ticker.Stop()
	for {
		if answers(ctx, p.client, p.ReadyURL) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s at %s, log %s: %w", p.Name, p.ReadyURL, p.logPath, ErrNotReady)
		case <-ticker.C:
		}
	}
}

func answers(ctx context.Context, client *http.Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}

// PID returns the process id, or zero if it does not run.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Kill ends the process at once, as a crash would, and waits until it is gone.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL) }

// Stop asks the process to stop as planned and waits; after a grace period it is killed and an error returned.
func (p *Process) Stop() error { return p.end(syscall.SIGTERM) }

func (p *Process) end(signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return nil
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return p.forget(fmt.Errorf("signal %s: %w", p.Name, err))
	}
	select {
	case <-p.exited:
		return p.forget(nil)
	case <-time.After(stopGrace):
	}
	_ = p.command.Process.Kill()
	<-p.exited
	return p.forget(fmt.Errorf("%s did not stop within %s: %w", p.Name, stopGrace, ErrNotReady))
}

func (p *Process) forget(result error) error {
	<-p.exited
	p.command = nil
	return result
}

// Pause stops the process from running, as a long scheduling pause would; Resume lets it go on.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return fmt.Errorf("%s: %w", p.Name, ErrNotRunning)
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}
