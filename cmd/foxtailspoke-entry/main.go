// Command foxtailspoke-entry runs one entry instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/internal/entrycommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(entrycommand.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
