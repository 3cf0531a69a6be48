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
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/sharing"
)

// noticeHost is the part of a host that passes on what entries tell.
type noticeHost struct {
	agentv1.UnimplementedAgentServer
	shared *sharing.Host
}

func (h *noticeHost) Tell(_ context.Context, r *agentv1.TellRequest) (*agentv1.TellResponse, error) {
	h.shared.Tell(r)
	return &agentv1.TellResponse{}, nil
}

func (h *noticeHost) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return h.shared.Permit(r), nil
}

func (h *noticeHost) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
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

// startNoticeHost starts a host at an address, which it returns, and a way to end it.
func startNoticeHost(t *testing.T, addr string) (at string, end func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, &noticeHost{shared: newSharedHost()})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server.Stop
}

// startTelling starts the part of an entry that follows hosts. It has no control replicas.
func startTelling(t *testing.T, hosts ...string) *quarantine.Book {
	t.Helper()
	book, table := quarantine.NewBook(), endpoint.NewTable()
	pool := link.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	t.Cleanup(func() { _ = pool.Close() })
	reports := NewReports(Config{ReportInterval: 10 * time.Millisecond}, pool, table, load.New(load.Config{}, table),
		prefix.New(prefix.Config{}), outlier.New(outlier.Config{}), lockstep.New(), unconfirmed{}, book, NewRateLimits(table, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	names := map[string]string{}
	for _, host := range hosts {
		names[host] = host
	}
	reports.Follow(t.Context(), names)
	go reports.tell(t.Context())
	return book
}

func awaitHeld(t *testing.T, book *quarantine.Book, f call.Fingerprint, held bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); (book.Held(time.Since(processStart), f) > 0) != held; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("held is still %v", !held)
		}
	}
}

// TestEveryEntryKeepsARequestFromEndpoints has three ends sighted at three entries, of which
// none has seen more than one. There are no control replicas, and two of the four hosts are
// not there.
func TestEveryEntryKeepsARequestFromEndpoints(t *testing.T) {
	is := is.New(t)
	one, _ := startNoticeHost(t, "127.0.0.1:0")
	two, end := startNoticeHost(t, "127.0.0.1:0")
	gone, stop := startNoticeHost(t, "127.0.0.1:0")
	stop()
	entries := []*quarantine.Book{startTelling(t, one, two, gone), startTelling(t, one, two, gone), startTelling(t, one, two, gone)}
	bad := call.FingerprintOf("crew", "POST", "/draft", []byte("ends what runs it"))
	for i, book := range entries {
		book.Ended(time.Since(processStart), bad, "e"+string(rune('1'+i)))
	}
	for _, book := range entries {
		awaitHeld(t, book, bad, true)
	}
	// An entry that has just started hears of it from a host.
	awaitHeld(t, startTelling(t, one), bad, true)
	// A host that has started anew hears of it from the entries.
	end()
	_, _ = startNoticeHost(t, two)
	awaitHeld(t, startTelling(t, two), bad, true)
	// One entry finds out that it was a mistake.
	is.Equal(entries[0].Whole(time.Since(processStart), time.Since(processStart), bad, "e7"), 3)
	for _, book := range entries {
		awaitHeld(t, book, bad, false)
	}
}
