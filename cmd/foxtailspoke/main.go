// Command foxtailspoke is the operators' command line: it checks and applies
// the two lists, issues and revokes keys, and explains decisions.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Getenv)
	stop()
	os.Exit(code)
}
