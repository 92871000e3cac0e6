package labcli

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/lab/weightsim"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// errBadArtifact means that an --artifact flag is not NAME@VERSION=BYTES.
const errBadArtifact = failure.Kind("want NAME@VERSION=BYTES")

// newWeights returns the command that runs the stand-in for the weight store.
func newWeights() *cobra.Command {
	var listen, faultListen string
	var faults weightsim.Faults
	var artifacts []string
	command := &cobra.Command{
		Use:   "weights",
		Short: "Run the stand-in for the platform's weight store",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := weightsim.New(faults, time.Now)
			for _, text := range artifacts {
				artifact, err := parseArtifact(text)
				if err != nil {
					return err
				}
				server.Put(artifact)
			}
			return serveStandIn(command.Context(), command.OutOrStdout(),
				standInListener{name: "service", address: listen, handler: server.Handler()},
				standInListener{name: "faults", address: faultListen, handler: server.FaultHandler()},
			)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:2579", "IP address and port of the store")
	flags.StringVar(&faultListen, "fault-listen", "127.0.0.1:2578", "IP address and port of the fault port")
	flags.Float64Var(&faults.BytesPerSecond, "bytes-per-second", 0, "rate that reservations share; 0 means no limit")
	flags.Float64Var(&faults.CallsPerSecond, "calls-per-second", 0, "calls beyond this rate get 429; 0 means no limit")
	flags.StringArrayVar(&artifacts, "artifact", nil, "an artifact, as NAME@VERSION=BYTES; may be repeated")
	return command
}

func parseArtifact(text string) (weight.Artifact, error) {
	label, size, hasSize := strings.Cut(text, "=")
	name, version, hasVersion := strings.Cut(label, "@")
	bytes, err := strconv.ParseInt(size, 10, 64)
	if !hasSize || !hasVersion || err != nil {
		return weight.Artifact{}, fmt.Errorf("--artifact %q: %w", text, errBadArtifact)
	}
	return weight.Artifact{Name: name, Version: version, Bytes: bytes}, nil
}
