// Command foxtailspoke-trial tries a running system out, as its callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/internal/trial/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
