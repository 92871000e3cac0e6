// Command mallowlatch-lab runs the stand-ins for outside systems, the load generator and the experiments.
package main

import (
	"os"

	"mallowlatch.example/mallowlatch/internal/lab/labcli"
)

func main() {
	os.Exit(labcli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
