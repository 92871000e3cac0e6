// Package dev runs a whole small site in one process on loopback: a node, and stand-ins for the engines and the
// platform's services. It is the newcomer's first command and keeps nothing after it ends.
package dev

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/lab/machinesim"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/node"
	"mallowlatch.example/mallowlatch/internal/settings"
)

const (
	zoneName     = "here"
	regionName   = "dev"
	modelName    = "base"
	machineLag   = time.Second
	readyBound   = 30 * time.Second
	readyPeriod  = 50 * time.Millisecond
	freeLoopback = "127.0.0.1:0"
)

// Options are what the command line sets.
type Options struct {
	// CallerAddress and AdminAddress are "IP:port" of the two APIs.
	CallerAddress, AdminAddress string
	// Engines is the number of stand-in engines.
	Engines int
	// LogLevel is the least level that is logged.
	LogLevel string
	// Out gets the keys and the commands to paste; Log gets the node's log.
	Out, Log io.Writer
}

// site is the running site.
type site struct {
	options Options
	keys    fleet.Keys
	folder  string
	engines []*enginesim.Engine
	standIn tomb.Tomb
}

// Run runs the site until ctx ends.
func Run(ctx context.Context, options Options) error {
	folder, err := os.MkdirTemp("", "mallowlatch-dev-")
	if err != nil {
		return fmt.Errorf("make the data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	keys, err := newKeys()
	if err != nil {
		return err
	}
	running := &site{options: options, keys: keys, folder: folder}
	return errors.Join(running.run(ctx), running.stopStandIns())
}

func newKeys() (fleet.Keys, error) {
	var keys fleet.Keys
	for _, secret := range []*string{&keys.Admin, &keys.Online, &keys.Batch} {
		drawn, _, err := auth.Generate(rand.Reader)
		if err != nil {
			return keys, fmt.Errorf("draw a key: %w", err)
		}
		*secret = drawn
	}
	return keys, nil
}

func (s *site) run(ctx context.Context) error {
	config, err := s.startStandIns()
	if err != nil {
		return err
	}
	logger := zerolog.New(s.options.Log).With().Timestamp().Logger()
	if level, err := zerolog.ParseLevel(s.options.LogLevel); err == nil {
		logger = logger.Level(level)
	}
	assembled, err := node.New(config, node.Options{Logger: logger, Registry: prometheus.NewRegistry()})
	if err != nil {
		return err
	}
	var running tomb.Tomb
	ctx = running.Context(ctx)
	running.Go(func() error { return s.prepare(ctx, assembled) })
	running.Go(func() error { return assembled.Run(ctx) })
	return running.Wait()
}

// startStandIns starts the engines and the platform's services and returns the node's settings.
func (s *site) startStandIns() (settings.Settings, error) {
	machines := machinesim.New(machineLag, time.Now)
	for number := range s.options.Engines {
		engine := enginesim.New(enginesim.Options{
			Runner: ident.Runner(fmt.Sprintf("engine-%d", number+1)),
			Zone:   zoneName,
			Models: []string{modelName},
		})
		address, err := engine.Start()
		if err != nil {
			return settings.Settings{}, fmt.Errorf("start engine: %w", err)
		}
		s.engines = append(s.engines, engine)
		machines.Set(machine.Runner{
			ID:      ident.Runner(fmt.Sprintf("engine-%d", number+1)),
			Zone:    zoneName,
			Address: address,
			State:   machine.Live,
		})
	}
	kvAddress, err := s.serve(kvsim.New(1).Handler())
	if err != nil {
		return settings.Settings{}, err
	}
	machineAddress, err := s.serve(machines.Handler())
	if err != nil {
		return settings.Settings{}, err
	}
	return s.nodeSettings(kvAddress, machineAddress)
}

func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", freeLoopback)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.standIn.Go(func() error {
		<-s.standIn.Dying()
		return server.Close()
	})
	s.standIn.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve a stand-in: %w", err)
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// nodeSettings are those of a node that is alone: one copy of each job is all there can be.
func (s *site) nodeSettings(kvAddress, machineAddress string) (settings.Settings, error) {
	return settings.Parse("dev", nil, []settings.Override{
		{Field: "node.id", Value: "dev"},
		{Field: "node.zone", Value: zoneName},
		{Field: "node.region", Value: regionName},
		{Field: "listen.caller", Value: s.options.CallerAddress},
		{Field: "listen.admin", Value: s.options.AdminAddress},
		{Field: "listen.peer", Value: freeLoopback},
		{Field: "platform.kv_endpoints", Value: kvAddress},
		{Field: "platform.machine_list", Value: machineAddress},
		{Field: "data_dir", Value: s.folder},
		{Field: "jobs.shards", Value: "1"},
		{Field: "jobs.replicas", Value: "1"},
		{Field: "jobs.minimum_copies", Value: "1"},
		// Nothing is kept, so a nearly full disk need not refuse the newcomer's first job.
		{Field: "jobs.disk_reserve", Value: "16MiB"},
		{Field: "bootstrap.admin_key_digest", Value: auth.Digest(s.keys.Admin)},
	})
}

// prepare waits for the node, writes its first configuration, and prints what to do next.
func (s *site) prepare(ctx context.Context, assembled *node.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	if err := waitReady(ctx, assembled.AdminAddress()); err != nil {
		return err
	}
	zones := []fleet.Zone{{Name: zoneName, Region: regionName}}
	resources, err := fleet.FirstResources([]string{modelName}, zones, s.keys)
	if err != nil {
		return err
	}
	if err := fleet.Apply(ctx, http.DefaultClient, "http://"+assembled.AdminAddress(), s.keys.Admin, resources); err != nil {
		return err
	}
	return s.describe(assembled)
}

func waitReady(ctx context.Context, address string) error {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		if response, err := http.Get("http://" + address + "/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the node: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

func (s *site) stopStandIns() error {
	var failures []error
	for _, engine := range s.engines {
		failures = append(failures, engine.Stop())
	}
	s.standIn.Kill(nil)
	return errors.Join(append(failures, s.standIn.Wait())...)
}
