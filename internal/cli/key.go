package cli

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// newKeyCommand returns "key". The secret is made here and only its digest is sent, so that no server ever holds it.
func newKeyCommand() *cobra.Command {
	return group("key", "Create API keys", newKeyCreateCommand(), newKeyGenerateCommand())
}

func newKeyCreateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "create ID",
		Short:   "Create an API key and print its secret, once",
		Long:    "Create an API key. The secret goes to standard output, everything else to standard error; it cannot be had again.",
		Example: "  mallowlatch key create front-desk --tenant palermo --role caller > front-desk.key",
		Args:    exactArguments(1),
	}
	flags := addChangeFlags(command)
	tenant := command.Flags().String("tenant", "", "tenant of the key; callers need one")
	role := command.Flags().String("role", string(catalog.RoleCaller), "caller, viewer, operator or admin")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		secret, digest, err := auth.Generate(rand.Reader)
		if err != nil {
			return fmt.Errorf("making the key: %w", err)
		}
		key := catalog.Key{ID: arguments[0], Tenant: ident.Tenant(*tenant), Role: catalog.Role(*role), Digest: digest}
		resource, err := catalog.Encode(&key)
		if err != nil {
			return fmt.Errorf("writing the key: %w", err)
		}
		client, err := flags.server.client()
		if err != nil {
			return err
		}
		result, err := putNew(command, client, flags, resource)
		if err != nil {
			return err
		}
		if result.Accepted {
			fmt.Fprintln(command.OutOrStdout(), secret)
		}
		command.SetOut(command.ErrOrStderr())
		return flags.finish(command, result)
	}
	return command
}

func newKeyGenerateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "generate",
		Short: "Print a new secret and its digest, for the bootstrap key in a node's settings",
		Args:  exactArguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			secret, digest, err := auth.Generate(rand.Reader)
			if err != nil {
				return fmt.Errorf("making the key: %w", err)
			}
			fmt.Fprintf(command.OutOrStdout(), "secret: %s\ndigest: %s\n", secret, digest)
			return nil
		},
	}
}
