package ranks

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/proof"
)

const testGroup = "lilackeel-pool"

// fakeBackend implements Control and Engines for one rank.
type fakeBackend struct {
	mu     sync.Mutex
	record *fleetv1.MapRecord
	fence  uint64
	// orders receives each order to load a map; the order returns what is sent to done.
	orders chan engineapi.Order
	done   chan error
}

func (h *fakeBackend) ReadMap(context.Context, string) (*fleetv1.MapRecord, uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, h.fence, nil
}

func (h *fakeBackend) LoadMap(ctx context.Context, _ string, order engineapi.Order) error {
	h.orders <- order
	select {
	case err := <-h.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *fakeBackend) ReadExperts(context.Context, string) (engineapi.ExpertCounts, error) {
	return engineapi.ExpertCounts{}, nil
}

// newFakeBackend returns a backend whose group runs epoch 1, and the Ranks that use it.
func newFakeBackend(t *testing.T) (*fakeBackend, *Ranks) {
	first := group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	h := &fakeBackend{
		record: &fleetv1.MapRecord{Group: testGroup, Epoch: 1, State: fleetv1.MapState_MAP_STATE_COMMITTED, Map: mapwire.StoredMap{Map: first}.Encode()},
		fence:  2, orders: make(chan engineapi.Order, 9), done: make(chan error),
	}
	r := New(Config{
		Members: []Member{{Group: testGroup, Rank: 0, Endpoint: "engine-1"}},
		Control: h, Engines: h, StepsAhead: 16, Logger: slog.New(slog.DiscardHandler),
	})
	go r.Run(t.Context())
	return h, r
}

// prepareEpoch2 makes epoch 2 pending and returns the record.
func (h *fakeBackend) prepareEpoch2() mapswitch.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 2})
	h.record = &fleetv1.MapRecord{
		Group: testGroup, Epoch: 2, State: fleetv1.MapState_MAP_STATE_PREPARING, Map: mapwire.StoredMap{Map: next}.Encode(),
		BaseEpoch: 1, BaseMap: h.record.GetMap(),
	}
	record, _ := mapwire.RecordOf(h.record, h.fence)
	return record
}

// requestPromise sends a promise request to rank 0 and returns its answer.
func requestPromise(r *Ranks, record mapswitch.Record, token, step uint64) mapswitch.Message {
	record.Token = token
	message := mapwire.ToProto(mapswitch.Message{
		Kind: mapswitch.KindPromise, Group: testGroup, Token: token, Epoch: 2, Step: step, Record: record,
	})
	response, err := r.Group(&agentv1.GroupRequest{Messages: []*agentv1.GroupMessage{message}})
	if err != nil {
		return mapswitch.Message{}
	}
	for _, message := range response.GetMessages() {
		answer, _ := mapwire.FromProto(message)
		if answer.Kind == mapswitch.KindPromised || answer.Kind == mapswitch.KindRefused {
			return answer
		}
	}
	return mapswitch.Message{}
}

// requestSteps requests steps as the engine of rank 0.
func requestSteps(t *testing.T, r *Ranks, request engineapi.StepRequest) engineapi.StepGrant {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return r.awaitGrant(ctx, r.drivers[rankKey{testGroup, 0}], request)
}

// Guards against an agent that restarts during a switch of maps while its engine still holds granted
// steps, and then promises one of those steps, accepts the late request of a replaced coordinator, or
// grants steps beyond its own promise.
func TestRestartedAgentKeepsPromises(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages}, Step: "switch of maps promised", Combined: true,
		Guard: "the granted steps that an engine reports; the token of the record's writer"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, r := newFakeBackend(t)
		record := h.prepareEpoch2()
		request := engineapi.StepRequest{Group: testGroup, Run: "a", Step: 50, Granted: 60, Loaded: []engineapi.LoadedMap{
			{Epoch: 1, Digest: record.Digest}, {Epoch: 2, Digest: record.PendingDigest},
		}}
		is.Equal(requestSteps(t, r, request), engineapi.StepGrant{}) // a promise may be in force
		is.Equal(requestPromise(r, record, 1, 1000).Reason, mapswitch.ReasonFenced)
		is.Equal(requestPromise(r, record, 2, 60).Reason, mapswitch.ReasonPassed)
		is.Equal(requestPromise(r, record, 2, 70).Kind, mapswitch.KindPromised)
		is.Equal(requestSteps(t, r, request), engineapi.StepGrant{Epoch: 1, From: 61, Until: 66})
		request.Step, request.Granted = 60, 65
		is.Equal(requestSteps(t, r, request), engineapi.StepGrant{Epoch: 1, From: 66, Until: 70})
		request.Granted = 69
		is.Equal(requestSteps(t, r, request), engineapi.StepGrant{}) // undecided
	})
}

// Guards against an engine that restarts while it loads a map: the completed order to its previous run
// must not count as loaded, and a late request of that run must not void steps granted to the current
// one.
func TestRestartedEngineReloadsMap(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages}, Step: "weights loading", Combined: true,
		Guard: "the comparison of the engine's run when an order ends; the granted steps kept over it"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, r := newFakeBackend(t)
		go requestSteps(t, r, engineapi.StepRequest{Group: testGroup, Run: "a", Step: 50, Granted: 60})
		is.Equal((<-h.orders).Epoch, uint64(1))
		request := engineapi.StepRequest{Group: testGroup, Run: "b", Step: 55}
		go requestSteps(t, r, request)
		<-h.orders // the order to run b
		h.done <- nil
		synctest.Wait()
		r.mu.Lock()
		loaded := len(r.drivers[rankKey{testGroup, 0}].loading) == 0
		r.mu.Unlock()
		h.done <- nil
		synctest.Wait()
		grant := requestSteps(t, r, request)
		is.True(!loaded)                 // the first answer was that of run a
		is.Equal(grant.From, uint64(55)) // run b may run now
		record := h.prepareEpoch2()
		late := engineapi.StepRequest{Group: testGroup, Run: "a", Step: 50, Granted: 60, Loaded: []engineapi.LoadedMap{
			{Epoch: 1, Digest: record.Digest}, {Epoch: 2, Digest: record.PendingDigest},
		}}
		is.Equal(requestSteps(t, r, late), engineapi.StepGrant{})
		is.Equal(requestPromise(r, record, 2, grant.Until-1).Reason, mapswitch.ReasonPassed) // granted to run b
	})
}

// BenchmarkSteps measures the cost per step of step requests over loopback, with 1 or 16 steps per
// request.
func BenchmarkSteps(b *testing.B) {
	for _, ahead := range []int{1, 16} {
		b.Run(fmt.Sprintf("ahead=%d", ahead), func(b *testing.B) {
			r := New(Config{Members: []Member{{Group: testGroup}}, StepsAhead: ahead, Logger: slog.New(slog.DiscardHandler)})
			d := r.drivers[rankKey{testGroup, 0}]
			d.startRun("a")
			stored := mapwire.StoredMap{Map: group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 1, Slots: 4})}
			record := mapswitch.Record{Revision: 1, Epoch: 1, Digest: stored.Map.Digest()}
			read := d.rank.Tick(time.Second)
			d.step(time.Second, mapswitch.AnswerRead(read[0], record, true))
			d.step(time.Second, d.loadedMessage(1, record.Digest))
			server := httptest.NewServer(r.Handler())
			defer server.Close()
			var granted uint64
			for granted < uint64(b.N) {
				request := engineapi.StepRequest{Group: testGroup, Run: "a", Step: granted + 1, Granted: granted}
				body, _ := json.Marshal(request)
				response, err := server.Client().Post(server.URL+engineapi.PathSteps, "application/json", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				var grant engineapi.StepGrant
				err = json.NewDecoder(response.Body).Decode(&grant)
				_ = response.Body.Close()
				if err != nil || grant.Until == 0 {
					b.Fatal(err, grant)
				}
				granted = grant.Until - 1
			}
		})
	}
}
