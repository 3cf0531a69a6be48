package contract

import (
	"fmt"
	"runtime"
	"testing"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Object counts of the large fleet that is the design target.
const (
	fleetWorkspaces    = 37_000
	fleetEndpoints     = 2_500
	fleetAgents        = 312
	fleetRetiredClaims = 1_000_000
)

// newLargeFleet returns a harness whose state has the size of the large fleet and the given
// number of claims.
func newLargeFleet(claims int) *harness {
	h := newHarness(1)
	h.addEndpoints(fleetEndpoints)
	h.addWorkspaces(fleetWorkspaces)
	h.addClaims(claims)
	return h
}

func (h *harness) addEndpoints(count int) {
	for i := range min(count, fleetAgents) {
		var endpoints []*fleetv1.Endpoint
		for j := i; j < count; j += fleetAgents {
			endpoints = append(endpoints, newEngine(fmt.Sprintf("engine-%04d", j)))
		}
		h.announce(fmt.Sprintf("agent-%03d", i), 1, endpoints...)
	}
}

func (h *harness) addWorkspaces(count int) {
	const batch = 1000
	for from := 0; from < count; from += batch {
		intent := &controlv1.Intent{Id: fmt.Sprintf("workspaces-%d", from)}
		for i := from; i < min(from+batch, count); i++ {
			added := newWorkspace(fmt.Sprintf("workspace-%05d", i), 1+int32(i%5), 0.00001)
			added.MaxConcurrent = 16
			added.KeyDigests = []string{fmt.Sprintf("%064x", i)}
			intent.Workspaces = append(intent.Workspaces, added)
		}
		if result := h.planAndConfirm(intent); result.Err != nil {
			panic(result.Err)
		}
	}
}

func (h *harness) addClaims(count int) {
	for i := range count {
		h.addClaim(i)
	}
}

func (h *harness) addClaim(i int) {
	request := newClaimRequest(fmt.Sprintf("key-%032d", i), fmt.Sprintf("claim-%030d", i), 1, "agent-000", 1, "engine-0000")
	if result := h.apply(EncodeClaim(0, request)); !result.Granted {
		panic(result.Err)
	}
}

// addAnswers adds claims with answers of 256 bytes.
func (h *harness) addAnswers(count int) {
	for i := range count {
		h.addClaim(i)
		h.apply(EncodeSettle(0, &controlv1.SettleRequest{
			Workspace: "ops", Key: fmt.Sprintf("key-%032d", i), ClaimId: fmt.Sprintf("claim-%030d", i),
			State: answered, Answer: &controlv1.Answer{Status: 200, Body: make([]byte, 256)},
		}))
	}
	h.log = nil
}

// BenchmarkApply measures single commands on the state of the large fleet.
func BenchmarkApply(b *testing.B) {
	h := newLargeFleet(0)
	index := uint64(len(h.log))
	apply := func(b *testing.B, data []byte, err error) {
		index++
		if result := h.state.Apply(index, 1, data).(*Result); err != nil || result.Err != nil {
			b.Fatal(err, result.Err)
		}
	}
	next := 0
	b.Run("claim", func(b *testing.B) {
		for b.Loop() {
			next++
			request := newClaimRequest(fmt.Sprintf("key-%032d", next), fmt.Sprintf("claim-%030d", next), 1, "agent-000", 1, "engine-0000")
			data, err := EncodeClaim(0, request)
			apply(b, data, err)
		}
	})
	settled := 0
	b.Run("settle", func(b *testing.B) {
		for b.Loop() {
			settled = settled%next + 1
			data, err := EncodeSettle(0, &controlv1.SettleRequest{
				Workspace: "ops", Key: fmt.Sprintf("key-%032d", settled), ClaimId: fmt.Sprintf("claim-%030d", settled),
				State: answered, Answer: &controlv1.Answer{Status: 200, Body: make([]byte, 256)},
			})
			apply(b, data, err)
		}
	})
	slots := int32(0)
	b.Run("announce", func(b *testing.B) {
		for b.Loop() {
			slots++
			data, err := EncodeAnnounce(0, newAnnouncement("agent-bench", 1, &fleetv1.Endpoint{Id: "bench", Pool: "bench", Slots: slots}))
			apply(b, data, err)
		}
	})
	intents := 0
	accept := func(b *testing.B, share float64) {
		intents++
		id := fmt.Sprintf("bench-%d", intents)
		changed := newWorkspace("workspace-00001", int32(2+intents%7), share)
		data, err := EncodePlan(0, &controlv1.Intent{Id: id, Operator: "amel", Workspaces: []*fleetv1.Workspace{changed}})
		apply(b, data, err)
		data, err = EncodeConfirm(0, &controlv1.ConfirmRequest{IntentId: id, Operator: "amel", Digest: h.state.Intent(id).GetPlan().GetDigest()})
		apply(b, data, err)
	}
	b.Run("plan and confirm importance", func(b *testing.B) {
		for b.Loop() {
			accept(b, 0.00001)
		}
	})
	b.Run("plan and confirm share", func(b *testing.B) {
		for b.Loop() {
			accept(b, float64(1+intents%2)/10)
		}
	})
}

// BenchmarkSnapshot measures encoding, capturing and restoring the state of the large fleet.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{0, 100_000, fleetRetiredClaims} {
		h := newLargeFleet(claims % fleetRetiredClaims)
		if claims == fleetRetiredClaims {
			h.state.claims.answerLimit = 0
			h.addAnswers(fleetRetiredClaims)
		}
		state := h.state
		data, err := state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("write/claims=%d", claims), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "B")
			for b.Loop() {
				if _, err := state.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("capture/claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				state.Capture()
			}
		})
		b.Run(fmt.Sprintf("read/claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				if err := NewState().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStateBytes reports the memory and the snapshot size of one workspace,
// endpoint and claim.
func BenchmarkStateBytes(b *testing.B) {
	tests := []struct {
		name  string
		count int
		fill  func(h *harness, count int)
	}{
		{"workspace", fleetWorkspaces, (*harness).addWorkspaces},
		{"endpoint", fleetEndpoints, (*harness).addEndpoints},
		{"claim", 200_000, (*harness).addClaims},
		{"answered", 200_000, (*harness).addAnswers},
		{"retired", 200_000, func(h *harness, count int) {
			h.state.claims.answerLimit = 0
			h.addAnswers(count)
		}},
	}
	for _, tc := range tests {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				h := newHarness(1)
				h.addEndpoints(1)
				before, bytesBefore := liveHeapBytes(), snapshotBytes(b, h)
				tc.fill(h, tc.count)
				h.log = nil
				h.state.intents = newIntentTable()
				grown := float64(liveHeapBytes() - before)
				b.ReportMetric(grown/float64(tc.count), "heap-B/"+tc.name)
				b.ReportMetric(float64(snapshotBytes(b, h)-bytesBefore)/float64(tc.count), "snapshot-B/"+tc.name)
				runtime.KeepAlive(h)
			}
		})
	}
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func snapshotBytes(b *testing.B, h *harness) int {
	data, err := h.state.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
