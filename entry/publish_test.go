package entry

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/sharing"
)

// sharingHost is the part of a host that entries share.
type sharingHost struct {
	agentv1.UnimplementedAgentServer
	shared *sharing.Host
}

func (h *sharingHost) PublishCrashReports(_ context.Context, r *agentv1.PublishCrashReportsRequest) (*agentv1.PublishCrashReportsResponse, error) {
	h.shared.PublishCrashReports(r)
	return &agentv1.PublishCrashReportsResponse{}, nil
}

func (h *sharingHost) PublishSuspicions(_ context.Context, r *agentv1.PublishSuspicionsRequest) (*agentv1.PublishSuspicionsResponse, error) {
	h.shared.PublishSuspicions(r)
	return &agentv1.PublishSuspicionsResponse{}, nil
}

func (h *sharingHost) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return h.shared.Permit(r), nil
}

func (h *sharingHost) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
	reader := h.shared.Reader(r)
	for stream.Context().Err() == nil {
		report := &agentv1.Report{}
		reader.Fill(report)
		if err := stream.Send(report); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func newSharedHost() *sharing.Host {
	start := time.Now()
	return sharing.NewHost(func() time.Duration { return time.Since(start) }, ratelimit.NewArbiter())
}

// startSharingHost starts a host at an address, which it returns, and a way to end it.
func startSharingHost(t testing.TB, addr string) (at string, end func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, &sharingHost{shared: newSharedHost()})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server.Stop
}

// startPublishing starts the part of an entry that follows hosts. It has no control replicas.
func startPublishing(t *testing.T, hosts ...string) *quarantine.Tracker {
	t.Helper()
	crashes, table := quarantine.NewTracker(), endpoint.NewTable()
	pool := link.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	t.Cleanup(func() { _ = pool.Close() })
	reports := NewReportSubscriber(Config{ReportInterval: 10 * time.Millisecond}, pool, table, load.New(load.Config{}, table),
		prefix.New(prefix.Config{}), outlier.New(outlier.Config{}), lockstep.New(), unconfirmed{}, crashes, NewRateLimits(Config{}, table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler)), suspicion.NewTracker(1), slog.New(slog.DiscardHandler))
	names := map[string]string{}
	for _, host := range hosts {
		names[host] = host
	}
	reports.SetAgents(t.Context(), names)
	go reports.publishCrashReports(t.Context())
	return crashes
}

func awaitHeld(t *testing.T, crashes *quarantine.Tracker, f call.Fingerprint, held bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); (crashes.Held(time.Since(processStart), f) > 0) != held; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("held is still %v", !held)
		}
	}
}

// TestEveryEntryKeepsARequestFromEndpoints has three crashes reported by three entries, of which
// none has seen more than one. There are no control replicas, and two of the four hosts are
// not there.
func TestEveryEntryKeepsARequestFromEndpoints(t *testing.T) {
	is := is.New(t)
	one, _ := startSharingHost(t, "127.0.0.1:0")
	two, end := startSharingHost(t, "127.0.0.1:0")
	gone, stop := startSharingHost(t, "127.0.0.1:0")
	stop()
	entries := []*quarantine.Tracker{startPublishing(t, one, two, gone), startPublishing(t, one, two, gone), startPublishing(t, one, two, gone)}
	bad := call.FingerprintOf("crew", "POST", "/draft", []byte("ends what runs it"))
	for i, crashes := range entries {
		crashes.Ended(time.Since(processStart), bad, "e"+string(rune('1'+i)))
	}
	for _, crashes := range entries {
		awaitHeld(t, crashes, bad, true)
	}
	// An entry that has just started hears of it from a host.
	awaitHeld(t, startPublishing(t, one), bad, true)
	// A host that has started anew hears of it from the entries.
	end()
	_, _ = startSharingHost(t, two)
	awaitHeld(t, startPublishing(t, two), bad, true)
	// One entry finds out that it was a mistake.
	is.Equal(entries[0].Completed(time.Since(processStart), time.Since(processStart), bad, "e7"), 3)
	for _, crashes := range entries {
		awaitHeld(t, crashes, bad, false)
	}
}
