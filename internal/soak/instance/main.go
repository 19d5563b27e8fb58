// Command instance runs an edge instance whose network path to the backend servers can be
// partitioned, for the soak test.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/edge"
	"foxtailspoke/internal/edgecommand"
	"foxtailspoke/internal/standin"
)

// partitionVariable is the environment variable that names the file with the state of the
// path, a standin.PartitionMode.
const partitionVariable = "FOXTAILSPOKE_SOAK_PARTITION"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	path := standin.NewPartition()
	go path.Follow(context.Background(), os.Getenv(partitionVariable))
	os.Exit(edgecommand.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, edge.WithServerDialer(path.Dial)))
}
