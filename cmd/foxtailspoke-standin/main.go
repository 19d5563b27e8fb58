// Command foxtailspoke-standin runs test doubles of the platform, of
// backend servers and of network links.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
