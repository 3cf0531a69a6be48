package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/wait"
)

// fakes implements all remote dependencies of a Server without a network, and records the calls.
type fakes struct {
	// agent handles a dispatch: it sends the responses and returns the error that ends the stream.
	agent func(ctx context.Context, d *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error
	// claim and revoke handle the calls of the same name.
	claim  func(r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error)
	revoke func() (*agentv1.RevokeResponse, error)

	mu         sync.Mutex
	dispatches []*agentv1.DispatchRequest
	settled    []controlv1.ClaimState
	picks      int
}

func (f *fakes) Admit(context.Context, AdmissionRequest) (func(), error) { return func() {}, nil }

func (f *fakes) Pick(_ time.Duration, _ *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picks++
	return endpoint.Endpoint{ID: fmt.Sprint("e", len(r.Exclude)+1), AgentAddr: "agent", Incarnation: 5}, pick.Explain{}, nil
}

func (f *fakes) Resolve(e *endpoint.Endpoint) (call.Target, bool) {
	return call.Target{Endpoint: e.ID, Agent: "agent", AgentAddr: e.AgentAddr, Incarnation: 5, TicketNS: 1}, true
}

func (f *fakes) Renew(t call.Target) (call.Target, bool) { return t, true }

func (f *fakes) Freshness(string) *agentv1.Freshness { return nil }

// fixedPicker always picks the same endpoint.
type fixedPicker struct{ endpoint endpoint.Endpoint }

func (p fixedPicker) Pick(time.Duration, *rand.Rand, *pick.Request) (endpoint.Endpoint, pick.Explain, error) {
	return p.endpoint, pick.Explain{}, nil
}

type fakeStream struct {
	responses chan *agentv1.DispatchResponse
	err       error
}

func (s *fakeStream) Recv() (*agentv1.DispatchResponse, error) {
	if r, open := <-s.responses; open {
		return r, nil
	}
	return nil, s.err
}

func (f *fakes) Dispatch(ctx context.Context, _ string, d *agentv1.DispatchRequest) (Stream, error) {
	f.mu.Lock()
	f.dispatches = append(f.dispatches, d)
	f.mu.Unlock()
	s := &fakeStream{responses: make(chan *agentv1.DispatchResponse, 16)}
	go func() {
		s.err = f.agent(ctx, d, func(r *agentv1.DispatchResponse) {
			r.RequestId, r.Attempt, r.Incarnation = d.GetRequestId(), d.GetAttempt(), d.GetIncarnation()
			s.responses <- r
		})
		close(s.responses)
	}()
	return s, nil
}

func (f *fakes) Revoke(context.Context, string, *agentv1.RevokeRequest) (*agentv1.RevokeResponse, error) {
	return f.revoke()
}

func (f *fakes) Claim(_ context.Context, r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
	return f.claim(r)
}

func (f *fakes) Settle(_ context.Context, r *controlv1.SettleRequest) (*controlv1.SettleResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, r.GetState())
	return &controlv1.SettleResponse{}, nil
}

// server returns a Server that uses the fakes and has one model and one service.
func (f *fakes) server() *Server {
	digest := sha256.Sum256([]byte("secret-key"))
	directory := NewDirectory()
	directory.Apply(feed.NewView(&fleetv1.Configuration{
		Revision:   1,
		Workspaces: []*fleetv1.Workspace{{Name: "crew", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Models:     []*fleetv1.Model{{Name: "draft", Pool: "pool"}},
		Services:   []*fleetv1.Service{{Name: "roster", Pool: "roster", PathPrefix: "/roster"}},
	}))
	table := endpoint.NewTable()
	policy := call.DefaultPolicy
	s := NewServer(Config{
		DefaultDeadline: time.Minute, MaxDeadline: time.Hour, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 16, BodyTimeout: time.Second,
		WriteTimeout: time.Second, MaxAttempts: policy.MaxAttempts, RetryRatio: 1, RetryBurst: 10, MaxBufferedBytes: 1 << 20,
		FirstByteTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, AccessLog: true,
	}, Dependencies{
		Directory: directory, Admitter: f, Picker: f, Loads: load.New(load.Config{}, table), Index: prefix.New(prefix.Config{Entries: 64}),
		Outliers: outlier.New(outlier.Config{}), Agents: f, Claims: f, Targets: f, Quarantine: quarantine.NewTracker(), RateLimits: NewRateLimits(Config{}, table, NewAdmissionController(Config{}), slog.New(slog.DiscardHandler)),
		Logger: slog.New(slog.DiscardHandler),
	})
	s.start = time.Now() // by the fake clock of the synctest bubble, which may be before processStart
	return s
}

// sendPost sends a POST request and returns the answer and how long it took.
func sendPost(s *Server, ctx context.Context, path, body string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer secret-key")
	w := httptest.NewRecorder()
	startedAt := time.Now()
	func() {
		defer func() {
			if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler {
				panic(recovered)
			}
		}()
		s.ServeHTTP(w, r)
	}()
	took := time.Since(startedAt)
	s.WaitForRecords()
	return w, took
}

func headOf(contentType, stream string) *agentv1.DispatchResponse {
	headers := []*controlv1.Header{{Name: "Content-Type", Value: contentType}}
	return &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Head{Head: &agentv1.Head{Status: 200, Headers: headers, StreamId: stream}}}
}

func chunkOf(offset int, text string) *agentv1.DispatchResponse {
	return &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Chunk{Chunk: &agentv1.Chunk{Offset: uint64(offset), Data: []byte(text)}}}
}

func endOf(length int) *agentv1.DispatchResponse {
	return &agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_End{End: &agentv1.End{Length: uint64(length)}}}
}

const (
	chatPath   = "/v1/chat/completions"
	streamBody = `{"model":"draft","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

// TestStalledStream freezes an agent in the middle of a stream. After the idle timeout, the stream
// is resumed at its offset, and the caller gets the complete answer.
func TestStalledStream(t *testing.T) {
	proof.Cell{
		Promise: proof.ResponseIntegrity, Faults: []proof.Fault{proof.Freeze, proof.StalledRank}, Step: "agent frozen, or its engine at a standstill, in the middle of a stream",
		Guard: "the silence timer of entry.attempt, and the offset of the resumed dispatch",
	}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const whole = "data: a\n\ndata: b\n\ndata: [DONE]\n\n"
		f := &fakes{}
		f.agent = func(ctx context.Context, d *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
			send(headOf("text/event-stream", "s1"))
			if d.GetResumeOffset() == 0 {
				send(chunkOf(0, whole[:9]))
				<-ctx.Done() // frozen
				return fault.New(fault.Unknown, "cut", "").WithCause(ctx.Err())
			}
			send(chunkOf(int(d.GetResumeOffset()), whole[d.GetResumeOffset():]))
			send(endOf(len(whole)))
			return io.EOF
		}
		w, took := sendPost(f.server(), t.Context(), chatPath, streamBody)
		is.Equal(w.Body.String(), whole)
		is.Equal(w.Result().Trailer.Get(call.HeaderOutcome), "answered")
		is.True(took >= 5*time.Second && took < 7*time.Second)
		is.Equal(f.dispatches[1].GetEndpoint(), "e1")          // the engine that holds the stream
		is.Equal(f.dispatches[1].GetResumeOffset(), uint64(9)) // where it was interrupted
		is.Equal(len(f.dispatches), 2)
	})
}

// TestNoQuorum checks that a claim without a quorum dispatches nothing and fails after the claim
// timeout, long before the deadline.
func TestNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakes{claim: func(*controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
			time.Sleep(100 * time.Millisecond)
			return nil, fault.New(fault.NoQuorum, "no leader", "")
		}}
		w, took := sendPost(f.server(), t.Context(), "/roster/swap", "duty")
		is.Equal(w.Code, 503)
		is.Equal(w.Header().Get(call.HeaderOutcome), "not-run")
		is.True(w.Header().Get("Retry-After") != "")
		is.True(took < 5*time.Second)
		is.Equal(len(f.dispatches), 0)
	})
}

// TestCallerDisconnectsFromClaimedCall disconnects the caller of a call that must not be repeated.
// Before the dispatch, nothing is sent any more and the key is released. After it, the call
// continues and its answer is recorded.
func TestCallerDisconnectsFromClaimedCall(t *testing.T) {
	for name, leaveAfter := range map[string]time.Duration{"before the dispatch": 500 * time.Millisecond, "after the dispatch": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakes{}
				f.claim = func(r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
					time.Sleep(time.Second)
					return &controlv1.ClaimResponse{Granted: true, Claim: &controlv1.Claim{
						ClaimId: r.GetClaimId(), Digest: r.GetDigest(), State: controlv1.ClaimState_CLAIM_STATE_GRANTED,
					}}, nil
				}
				f.agent = func(ctx context.Context, _ *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
					wait.For(ctx, time.Second)
					if ctx.Err() != nil {
						return ctx.Err()
					}
					send(headOf("text/plain", ""))
					send(chunkOf(0, "done"))
					send(endOf(4))
					return io.EOF
				}
				f.revoke = func() (*agentv1.RevokeResponse, error) {
					return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}, nil
				}
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(leaveAfter, leave)
				sendPost(f.server(), ctx, "/roster/swap", "duty")
				if len(f.dispatches) == 0 {
					is.Equal(name, "before the dispatch")
					is.Equal(f.settled, []controlv1.ClaimState{controlv1.ClaimState_CLAIM_STATE_NOT_RUN})
					return
				}
				is.Equal(name, "after the dispatch")
				is.Equal(f.settled, []controlv1.ClaimState{controlv1.ClaimState_CLAIM_STATE_ANSWERED})
			})
		})
	}
}

// TestTruncatedClaimedCall breaks the connection of a claimed call whose agent does not know its
// state. The caller is told so immediately, and the call is never retried.
func TestTruncatedClaimedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakes{}
		f.claim = func(r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
			return &controlv1.ClaimResponse{Granted: true, Claim: &controlv1.Claim{ClaimId: r.GetClaimId(), State: controlv1.ClaimState_CLAIM_STATE_GRANTED}}, nil
		}
		f.agent = func(context.Context, *agentv1.DispatchRequest, func(*agentv1.DispatchResponse)) error {
			return errors.New("the connection broke")
		}
		f.revoke = func() (*agentv1.RevokeResponse, error) {
			return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}, nil
		}
		w, took := sendPost(f.server(), t.Context(), "/roster/swap", "duty")
		is.Equal(w.Code, 502)
		is.Equal(w.Header().Get(call.HeaderOutcome), "unknown")
		is.Equal(took, time.Duration(0)) // reported immediately
		is.Equal(len(f.dispatches), 1)   // and not retried
		is.Equal(f.settled, []controlv1.ClaimState{controlv1.ClaimState_CLAIM_STATE_UNKNOWN})
	})
}

// TestNoConfigurationYet sends a request to an entry that has no configuration yet. The entry cannot
// know the caller's key, so it must not reject the key as invalid: the caller would not retry.
func TestNoConfigurationYet(t *testing.T) {
	proof.Cell{
		Promise: proof.NotRun, Faults: []proof.Fault{proof.Restart}, Step: "entry without a configuration",
		Guard: "the refusal while no configuration is in force (entry)",
	}.Log(t)
	is := is.New(t)
	s := (&fakes{}).server()
	s.directory.current.Store(NewDirectory().current.Load())
	w, _ := sendPost(s, context.Background(), chatPath, streamBody)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(call.HeaderOutcome), "not-run")
	is.True(w.Header().Get("Retry-After") != "")
}
