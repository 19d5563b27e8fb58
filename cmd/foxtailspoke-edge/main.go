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
	// The settings file is looked at every few seconds anyway; the signal must
	// only not end the process.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(edgecommand.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
