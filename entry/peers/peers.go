// Package peers connects a node with the nodes of other instances: it carries
// out its calls and hands it theirs.
package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/node"
	"foxtailspoke/peer"
)

// Submitter takes events for the node.
type Submitter interface{ Submit(node.Event) }

// Peers is an instance's connection with the others.
type Peers struct {
	client  *peer.Client
	loop    Submitter
	timeout time.Duration

	token   atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan node.ReplyCall
	wg      sync.WaitGroup
}

// New returns the connection. A call that has no reply within the timeout
// ends without one.
func New(client *peer.Client, loop Submitter, timeout time.Duration) *Peers {
	return &Peers{client: client, loop: loop, timeout: timeout, waiting: map[uint64]chan node.ReplyCall{}}
}

// Wait returns when no call is under way.
func (p *Peers) Wait() { p.wg.Wait() }

// Call carries out the effect: it sends the request to the instance's peer
// address. Without an address the call ends at once. It doesn't block.
func (p *Peers) Call(e effect.Call, address string) {
	p.wg.Go(func() {
		ended := node.CallEnded{ID: e.ID}
		if address != "" {
			ended.Reply, ended.OK = p.call(address, e.Request)
		}
		p.loop.Submit(ended)
	})
}

func (p *Peers) call(address string, request any) (node.PeerReply, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	reply, err := p.client.Call(ctx, address, request)
	if err != nil {
		return node.PeerReply{}, false
	}
	r, ok := reply.(node.PeerReply)
	return r, ok
}

// Handle is the peer.Handler of the instance.
func (p *Peers) Handle(from string, body any) (any, bool) {
	request, ok := body.(node.PeerRequest)
	if !ok {
		return nil, false
	}
	token := p.token.Add(1)
	reply := make(chan node.ReplyCall, 1)
	p.mu.Lock()
	p.waiting[token] = reply
	p.mu.Unlock()
	defer p.removeWaiting(token)
	p.loop.Submit(node.Called{Token: token, From: from, Request: request})
	select {
	case r := <-reply:
		return r.Reply, r.OK
	case <-time.After(p.timeout):
		return nil, false
	}
}

// Reply carries out the effect. It doesn't block.
func (p *Peers) Reply(e node.ReplyCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply, ok := p.waiting[e.Token]; ok {
		reply <- e
	}
}

func (p *Peers) removeWaiting(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, token)
}
