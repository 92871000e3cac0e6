package labcli

import (
	"context"
	"crypto/rand"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const fleetStartBound = 60 * time.Second

// newFleet returns the command that runs a fleet of separate processes until it is interrupted.
func newFleet() *cobra.Command {
	var name, directory, binaries string
	var basePort int
	var secure bool
	command := &cobra.Command{
		Use:   "fleet",
		Short: "Run a fleet of separate processes on loopback until interrupted",
		Args:  cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&name, "plan", "small", "what to run: small, trinacria or petrovi")
	flags.StringVar(&directory, "dir", "out/fleet", "folder for settings, logs and data")
	flags.StringVar(&binaries, "bin", "bin", "folder of the programs mallowlatch and mallowlatch-lab")
	flags.BoolVar(&secure, "tls", false, "TLS on every listener, with certificates of an authority made for the run")
	flags.IntVar(&basePort, "base-port", 0, "first loopback port; 0 means the default")
	command.RunE = func(command *cobra.Command, _ []string) error {
		plan, err := fleet.ByName(name)
		if err != nil {
			return err
		}
		plan.Directory, plan.Binaries, plan.BasePort, plan.TLS = directory, binaries, basePort, secure
		return runFleet(command, plan)
	}
	return command
}

func runFleet(command *cobra.Command, plan fleet.Plan) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	keys, err := NewKeys()
	if err != nil {
		return err
	}
	plan.AdminKey = keys.Admin
	running, err := fleet.New(plan)
	if err != nil {
		return err
	}
	defer func() { _ = running.Stop() }()
	starting, cancel := context.WithTimeout(ctx, fleetStartBound)
	defer cancel()
	if err := running.Start(starting); err != nil {
		return err
	}
	if err := running.Configure(starting, keys); err != nil {
		return err
	}
	describe(command, running, keys)
	<-ctx.Done()
	return running.Stop()
}

// NewKeys draws the secrets of a fleet's first configuration.
func NewKeys() (fleet.Keys, error) {
	var secrets [3]string
	for index := range secrets {
		secret, _, err := auth.Generate(rand.Reader)
		if err != nil {
			return fleet.Keys{}, fmt.Errorf("draw a key: %w", err)
		}
		secrets[index] = secret
	}
	return fleet.Keys{Admin: secrets[0], Online: secrets[1], Batch: secrets[2]}, nil
}

func describe(command *cobra.Command, running *fleet.Fleet, keys fleet.Keys) {
	out := command.OutOrStdout()
	fmt.Fprintf(out, "admin key   %s\nonline key  %s\nbatch key   %s\n", keys.Admin, keys.Online, keys.Batch)
	for _, node := range running.Nodes {
		fmt.Fprintf(out, "%-20s caller %s  admin %s  pid %d\n", node.ID, running.CallerURL(node), running.AdminURL(node), node.PID())
	}
	for _, engine := range running.Engines {
		fmt.Fprintf(out, "%-20s engine http://%s  faults http://%s  pid %d\n", engine.ID, engine.Address, engine.Fault, engine.PID())
	}
	fmt.Fprintf(out, "\ncurl -s%s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"When may I give blood again?\"}]}'\n",
		running.CurlTrust(), running.CallerURL(running.Nodes[0]), keys.Online, fleet.Service)
}
