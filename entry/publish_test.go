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

// testHost is a host with the state that entries share.
type testHost struct {
	agentv1.UnimplementedAgentServer
	shared *sharing.Host
}

func (h *testHost) PublishCrashReports(_ context.Context, r *agentv1.PublishCrashReportsRequest) (*agentv1.PublishCrashReportsResponse, error) {
	h.shared.PublishCrashReports(r)
	return &agentv1.PublishCrashReportsResponse{}, nil
}

func (h *testHost) PublishSuspicions(_ context.Context, r *agentv1.PublishSuspicionsRequest) (*agentv1.PublishSuspicionsResponse, error) {
	h.shared.PublishSuspicions(r)
	return &agentv1.PublishSuspicionsResponse{}, nil
}

func (h *testHost) PublishDemand(_ context.Context, r *agentv1.PublishDemandRequest) (*agentv1.PublishDemandResponse, error) {
	return h.shared.PublishDemand(r), nil
}

func (h *testHost) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return h.shared.Permit(r), nil
}

func (h *testHost) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
	reader := h.shared.NewReader(r)
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

func newSharedState() *sharing.Host {
	start := time.Now()
	return sharing.NewHost(func() time.Duration { return time.Since(start) }, ratelimit.NewArbiter())
}

// startTestHost starts a host at an address. It returns the actual address and a function that stops
// the host.
func startTestHost(t testing.TB, addr string) (boundAddr string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, &testHost{shared: newSharedState()})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server.Stop
}

// startSubscriber starts the report subscriber of an entry without control replicas.
func startSubscriber(t *testing.T, hosts ...string) *quarantine.Tracker {
	t.Helper()
	crashes, table := quarantine.NewTracker(), endpoint.NewTable()
	pool := link.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	t.Cleanup(func() { _ = pool.Close() })
	reports := NewReportSubscriber(Config{ReportInterval: 10 * time.Millisecond}, pool, table, load.New(load.Config{}, table),
		prefix.New(prefix.Config{}), outlier.New(outlier.Config{}), lockstep.New(), unconfirmedFreshness{}, crashes, NewRateLimits(Config{}, table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler)), suspicion.NewTracker(1), slog.New(slog.DiscardHandler))
	names := map[string]string{}
	for _, host := range hosts {
		names[host] = host
	}
	reports.SetAgents(t.Context(), names)
	go reports.publishCrashReports(t.Context())
	return crashes
}

func awaitQuarantine(t *testing.T, crashes *quarantine.Tracker, f call.Fingerprint, want bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); (crashes.HoldRemaining(time.Since(processStart), f) > 0) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("quarantined is still %v", !want)
		}
	}
}

// TestCrashReportsReachAllEntries has three entries report three crashes of a request, of which each
// has seen only one. There are no control replicas, and one of the three hosts is down.
func TestCrashReportsReachAllEntries(t *testing.T) {
	is := is.New(t)
	first, _ := startTestHost(t, "127.0.0.1:0")
	second, stopSecond := startTestHost(t, "127.0.0.1:0")
	stopped, stopThird := startTestHost(t, "127.0.0.1:0")
	stopThird()
	entries := []*quarantine.Tracker{startSubscriber(t, first, second, stopped), startSubscriber(t, first, second, stopped), startSubscriber(t, first, second, stopped)}
	crashing := call.FingerprintOf("crew", "POST", "/draft", []byte("crashes its engine"))
	for i, crashes := range entries {
		crashes.RecordCrash(time.Since(processStart), crashing, "e"+string(rune('1'+i)))
	}
	for _, crashes := range entries {
		awaitQuarantine(t, crashes, crashing, true)
	}
	// An entry that has just started learns of it from a host.
	awaitQuarantine(t, startSubscriber(t, first), crashing, true)
	// A restarted host learns of it from the entries.
	stopSecond()
	_, _ = startTestHost(t, second)
	awaitQuarantine(t, startSubscriber(t, second), crashing, true)
	// One entry finds the request not to be the cause.
	is.Equal(entries[0].RecordCompletion(time.Since(processStart), time.Since(processStart), crashing, "e7"), 3)
	for _, crashes := range entries {
		awaitQuarantine(t, crashes, crashing, false)
	}
}

// awaitPartHeld waits until requests with a part are refused, or no longer.
func awaitPartHeld(t *testing.T, crashes *quarantine.Tracker, parts quarantine.Parts, want bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); (crashes.Parts().Refusal(time.Since(processStart), parts) != nil) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the part is held: %v", !want)
		}
	}
}

// Guards against entries that hold a part of prompts only for the crashes that they have seen
// themselves: each of three has seen one, hosts and entries restart, and one entry finds the part
// harmless. Hosts forward what is reported of parts like reports on requests, which hosts of earlier
// versions do as well; an entry of an earlier version takes it for a request that it never gets.
func TestPartReportsReachAllEntries(t *testing.T) {
	is := is.New(t)
	first, _ := startTestHost(t, "127.0.0.1:0")
	second, stopSecond := startTestHost(t, "127.0.0.1:0")
	entries := []*quarantine.Tracker{startSubscriber(t, first, second), startSubscriber(t, first, second), startSubscriber(t, first, second)}
	now := time.Since(processStart)
	request := func(own string) quarantine.Parts {
		return quarantine.NewParts("pool", "crew", []string{"shared", "crash", own})
	}
	sound := quarantine.NewParts("pool", "crew", []string{"shared", "sound"})
	for range 8 {
		entries[0].Parts().RecordSurvival(now, now, sound, "e0")
	}
	for i, crashes := range entries {
		at := now - time.Duration(i)*5*time.Second
		crashes.Parts().RecordCrash(at, request("own "+string(rune('1'+i))), "e"+string(rune('1'+i)))
	}
	for _, crashes := range entries {
		awaitPartHeld(t, crashes, request("another"), true)
		awaitPartHeld(t, crashes, sound, false)
	}
	// The entry with credit for the shared part clears it of the crashes that the others have seen.
	for _, crashes := range entries {
		for end := time.Now().Add(20 * time.Second); crashes.Parts().State(now, sound[0].Fingerprint).Crashes > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the shared part is still blamed")
			}
		}
	}
	started := startSubscriber(t, first)
	awaitPartHeld(t, started, request("another"), true)
	awaitPartHeld(t, started, sound, false)
	stopSecond()
	_, _ = startTestHost(t, second)
	awaitPartHeld(t, startSubscriber(t, second), request("another"), true)
	is.Equal(len(entries[0].Parts().RecordSurvival(now, now, request("another"), "e7")), 1)
	for _, crashes := range append(entries, started) {
		awaitPartHeld(t, crashes, request("another"), false)
	}
}
