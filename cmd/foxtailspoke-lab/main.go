// Command foxtailspoke-lab compares policies on simulated fleets.
package main

import (
	"os"

	"foxtailspoke/internal/labcommand"
)

func main() { os.Exit(labcommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
