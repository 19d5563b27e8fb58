// Command instance runs an edge instance whose network path to the backend servers can be
// partitioned, for the soak test.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"foxtailspoke/edge"
	"foxtailspoke/internal/edgecommand"
	"foxtailspoke/internal/standin"
)

const (
	// partitionVariable is the environment variable that names the file with the state of
	// the path, a standin.PartitionMode.
	partitionVariable = "FOXTAILSPOKE_SOAK_PARTITION"
	// ipVariable is the environment variable with the IP address of the instance, by which
	// backend servers identify it.
	ipVariable = "FOXTAILSPOKE_SOAK_IP"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	path := standin.NewPartition()
	path.LocalIP = net.ParseIP(os.Getenv(ipVariable))
	go path.Follow(context.Background(), os.Getenv(partitionVariable))
	os.Exit(edgecommand.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, edge.WithServerDialer(path.Dial)))
}
