package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/peer"
	"foxtailspoke/quota"
	"foxtailspoke/storage"
)

// BenchmarkWireBytes measures the TCP payload of a call and its reply on an
// established connection. The handshake and the first calls, which carry gob's
// type descriptions, aren't counted.
func BenchmarkWireBytes(b *testing.B) {
	s := scales[len(scales)-1]
	row := storage.Row{
		Key: config.WorkspacePrefix + workspaceName(54_321), Value: []byte(`{"plan":"plan-17"}`),
		Revision: 200_001, Attempt: "8c5e0d4a-0000-4000-8000-000000000000",
	}
	pulled := func(rows, changed int) PeerReply {
		p := membership.Pulled{
			Changes: storage.Changes{Revision: 200_001}, List: storage.InstanceChanges{Version: 70_001},
			TableAge: 123 * time.Millisecond, WitnessAge: 987 * time.Millisecond,
		}
		for range rows {
			p.Changes.Rows = append(p.Changes.Rows, row)
		}
		for i := range changed {
			p.List.Changed = append(p.List.Changed, s.target(i))
		}
		return PeerReply{Member: &membership.Reply{Pull: &p}}
	}
	pull := PeerRequest{Member: &membership.Request{Pull: &membership.Pull{Since: 200_000, ListSince: 70_000}}}
	bucket := quota.Bucket{Workspace: workspaceName(54_321), Service: serviceName(321)}
	report := func(servers int) PeerRequest {
		r := health.Report{Service: serviceName(321), DataCentre: "dc-07", Rate: 3.25}
		for i := range servers {
			w := health.WorkspaceCount{Workspace: workspaceName(i), Attempts: 9, Failed: 2, LateAttempts: 9}
			r.Servers = append(r.Servers, health.ServerCount{Server: instanceID("target", i), Workspaces: []health.WorkspaceCount{w}})
			r.Elsewhere = append(r.Elsewhere, w)
		}
		return PeerRequest{Report: &r}
	}
	advice := PeerReply{Advice: &Advice{Service: serviceName(321), Suspects: []health.Suspect{{Server: instanceID("target", 1), Weight: 0.1}}}}
	for _, c := range []struct {
		name    string
		request PeerRequest
		reply   PeerReply
	}{
		{"pull/idle", pull, pulled(0, 0)},
		{"pull/rows=1", pull, pulled(1, 0)},
		{"pull/rows=10", pull, pulled(10, 0)},
		{"pull/rows=100", pull, pulled(100, 0)},
		{"pull/instances=1", pull, pulled(0, 1)},
		{"pull/instances=10", pull, pulled(0, 10)},
		{"pull/instances=100", pull, pulled(0, 100)},
		{
			"witness",
			PeerRequest{Member: &membership.Request{Witness: &membership.Witness{Revision: 200_001}}},
			PeerReply{Member: &membership.Reply{Witness: &membership.Witnessed{Revision: 200_001, Seated: true}}},
		},
		{
			"tokens",
			PeerRequest{Ask: &quota.Ask{ID: 4_321, From: instanceID("entry", 7), Bucket: bucket, Want: quota.Tokens(1), Settled: 4_320}},
			PeerReply{Transfer: &quota.Transfer{Ask: 4_321, From: instanceID("entry", 8), Bucket: bucket, Amount: quota.Tokens(4)}},
		},
		{"report/servers=0", report(0), PeerReply{Advice: &Advice{Service: serviceName(321)}}},
		{"report/servers=1", report(1), advice},
		{"report/servers=8", report(8), advice},
	} {
		b.Run(c.name, func(b *testing.B) {
			out, in := wireBytes(b, c.request, c.reply)
			b.ReportMetric(out, "B/request")
			b.ReportMetric(in, "B/reply")
		})
	}
}

// wireBytes makes b.N calls and returns the mean size of request and reply in
// bytes.
func wireBytes(b *testing.B, request PeerRequest, reply PeerReply) (out, in float64) {
	secret := []byte("secret")
	server, err := peer.NewServer(secret, 2, time.Second, func(string, any) (any, bool) { return reply, true })
	must.NoError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	defer func() {
		cancel()
		<-done
	}()
	client := peer.NewClient(instanceID("entry", 7), secret, time.Second)
	defer client.Close()
	call := func() {
		timed, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		_, err := client.Call(timed, listener.Addr().String(), request)
		must.NoError(b, err, must.Sprint(fmt.Sprintf("%+v", request)))
	}
	for range 3 {
		call()
	}
	outBefore, inBefore := client.Traffic()
	b.ResetTimer()
	for range b.N {
		call()
	}
	b.StopTimer()
	outAfter, inAfter := client.Traffic()
	return float64(outAfter-outBefore) / float64(b.N), float64(inAfter-inBefore) / float64(b.N)
}
