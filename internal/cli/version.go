package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is set by the build: -ldflags "-X mallowlatch.example/mallowlatch/internal/cli.Version=v1.2.3". Without, it
// follows from what the toolchain records.
var Version = ""

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  exactArguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			fmt.Fprintln(command.OutOrStdout(), versionText())
			return nil
		},
	}
}

func versionText() string {
	build, known := debug.ReadBuildInfo()
	if !known {
		return Version
	}
	version := Version
	if version == "" {
		version = build.Main.Version
	}
	settings := map[string]string{}
	for _, setting := range build.Settings {
		settings[setting.Key] = setting.Value
	}
	text := fmt.Sprintf("mallowlatch %s, %s", version, build.GoVersion)
	if commit := settings["vcs.revision"]; commit != "" {
		text += ", commit " + commit
	}
	return text
}
