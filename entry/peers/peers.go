// Package peers carries calls between the node of this instance and the nodes
// of other instances.
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

// Submitter queues events for the node.
type Submitter interface{ Submit(node.Event) }

// Peers sends the node's calls to other instances and passes incoming calls to
// the node.
type Peers struct {
	client  *peer.Client
	loop    Submitter
	timeout time.Duration

	token   atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan node.ReplyCall
	wg      sync.WaitGroup
}

// New returns a Peers. Calls in both directions fail if there is no reply
// within the timeout.
func New(client *peer.Client, loop Submitter, timeout time.Duration) *Peers {
	return &Peers{client: client, loop: loop, timeout: timeout, waiting: map[uint64]chan node.ReplyCall{}}
}

// Wait blocks until no outgoing call is in progress.
func (p *Peers) Wait() { p.wg.Wait() }

// Call executes the effect: it sends the request to the instance's peer
// address and submits the result to the node. With an empty address the call
// fails immediately. It doesn't block.
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

// Handle implements peer.Handler. It blocks until the node replies or the
// timeout expires.
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

// Reply executes the effect: it answers an incoming call. Replies after the
// timeout are discarded. It doesn't block.
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
