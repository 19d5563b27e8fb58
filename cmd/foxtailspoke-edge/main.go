// Command foxtailspoke-edge runs one edge instance on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/internal/edgecommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Settings are reloaded by polling the file, so SIGHUP only has to be kept
	// from terminating the process.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(edgecommand.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
