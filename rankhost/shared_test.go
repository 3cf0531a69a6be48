package rankhost

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/sharing"
)

// Guards against a rank's host that grants permits, or receives a rate limit of an endpoint, but
// does not report it to the entries that read its reports.
func TestHostReportsRateLimits(t *testing.T) {
	is := is.New(t)
	host := NewHost(Config{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, &service{host: host, endpoint: "e", shared: sharing.NewHost(host.now, ratelimit.NewArbiter())})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	client := agentv1.NewAgentClient(connection)

	reports, err := client.Reports(t.Context(), &agentv1.ReportsRequest{IntervalMs: 20})
	is.NoErr(err)
	rate := 1.0
	limit := &agentv1.RateLimit{Endpoint: "e/1", Rate: &rate, SentAgeMs: 2, AgeMs: 1}
	permit, err := client.Permit(context.Background(), &agentv1.PermitRequest{Limit: limit, Wanted: true})
	is.NoErr(err)
	is.True(!permit.GetGranted())
	is.True(permit.GetWaitMs() > 0 && permit.GetWaitMs() <= 1000)
	for {
		report, err := reports.Recv()
		is.NoErr(err)
		if limits := report.GetRateLimits(); len(limits) > 0 {
			is.Equal(limits[0].GetEndpoint(), "e/1")
			is.Equal(limits[0].GetRate(), 1.0)
			return
		}
	}
}
