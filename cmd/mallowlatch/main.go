// Command mallowlatch is the node program and the operators' command line.
package main

import (
	"os"

	"mallowlatch.example/mallowlatch/internal/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
