package peer_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"foxtailspoke/peer"
)

// question and reply are the message types of the example.
type (
	question struct{ Text string }
	reply    struct{ Text string }
)

// A client with the server's secret calls it; a client with a different secret
// is rejected.
func Example() {
	gob.Register(question{})
	gob.Register(reply{})
	secret := []byte("the fleet's secret, at least 16 bytes")
	server, err := peer.NewServer(secret, 16, time.Second, func(from string, body any) (any, bool) {
		q, ok := body.(question)
		return reply{Text: from + " asked: " + q.Text}, ok
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()

	client := peer.NewClient("a", secret, time.Second)
	response, err := client.Call(ctx, l.Addr().String(), question{Text: "newest revision?"})
	fmt.Println(response, err)
	client.Close()

	unauthorized := peer.NewClient("b", []byte("another secret of enough length"), time.Second)
	_, err = unauthorized.Call(ctx, l.Addr().String(), question{})
	fmt.Println(err != nil)
	unauthorized.Close()
	cancel()
	<-done
	// Output:
	// {a asked: newest revision?} <nil>
	// true
}
