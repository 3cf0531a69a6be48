package contract

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
)

// randomHarness returns a harness to which random commands of most kinds were applied.
func randomHarness(seed uint64, commands int) *harness {
	h := newHarness(seed)
	for range commands {
		h.step()
	}
	return h
}

// TestDamagedSnapshotsAreRefused checks that a snapshot with a flipped bit, a truncated one
// and an older one are refused without changing the state, as is an entry applied twice.
func TestDamagedSnapshotsAreRefused(t *testing.T) {
	is := is.New(t)
	h := randomHarness(1, 300)
	data, err := h.state.Snapshot()
	is.NoErr(err)
	target := NewState()
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1 << (i % 8)
		is.True(fault.Is(target.Restore(damaged), fault.Corrupt))
	}
	is.True(fault.Is(target.Restore(data[:len(data)-1]), fault.Corrupt))
	is.Equal(target.Revision(), uint64(0))
	h.step()
	newer, _ := h.state.Snapshot()
	is.True(fault.Is(h.state.Restore(data), fault.Stale))
	is.Equal(h.state.Apply(5, 1, h.log[4]).(*Result).Err.Kind, fault.Internal)
	unchanged, _ := h.state.Snapshot()
	is.Equal(string(unchanged), string(newer))
}

// TestCaptureIsPointInTime checks that a snapshot that is encoded while later commands are
// applied has the state at the time of its capture. With the race detector it also checks
// that readers and the encoder may run concurrently with Apply.
func TestCaptureIsPointInTime(t *testing.T) {
	is := is.New(t)
	h := randomHarness(3, 300)
	h.plan(&controlv1.Intent{Id: "open", Workspaces: []*fleetv1.Workspace{newWorkspace("new", 1, 0)}})
	want, err := h.state.Snapshot()
	is.NoErr(err)
	encode := h.state.Capture()
	encoded := make(chan []byte)
	go func() {
		h.state.Configuration()
		h.state.DeltaSince(0)
		h.state.History(0, "")
		h.state.Progress()
		h.state.Orders()
		data, _ := encode()
		encoded <- data
	}()
	is.Equal(h.confirm("open").Err, nil)
	for range 300 {
		h.step()
	}
	is.True(string(<-encoded) == string(want))
	again, err := encode()
	is.NoErr(err)
	is.True(string(again) == string(want))
}

// TestDeltaUnavailableBeyondChangeRing checks that there is no delta for a revision that is no
// longer in the change ring, is in the future, or predates a restart from a snapshot.
func TestDeltaUnavailableBeyondChangeRing(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.RestartAfterManyChanges}, Step: "watcher that is further behind than the change ring reaches", Combined: true,
		Guard: "the size of the change ring"}.Log(t)
	is := is.New(t)
	h := newHarness(1)
	for i := range changeRingSize + 10 {
		h.announce("a", 1, &fleetv1.Endpoint{Id: "e1", Pool: "p", Slots: int32(i + 1)})
	}
	_, ok := h.state.DeltaSince(9)
	is.True(!ok)
	delta, ok := h.state.DeltaSince(10)
	is.True(ok)
	is.Equal(len(delta.GetEndpoints()), 1)
	_, ok = h.state.DeltaSince(h.state.Revision() + 1)
	is.True(!ok)
	restoreFromSnapshot(h)
	_, ok = h.state.DeltaSince(h.state.Revision() - 1)
	is.True(!ok)
}

// FuzzCommand applies arbitrary log entries and checks that nothing panics and that two
// replicas have the same state.
func FuzzCommand(f *testing.F) {
	base := randomHarness(2, 200)
	for _, data := range base.log[:100] {
		f.Add(data)
	}
	snapshot, _ := base.state.Snapshot()
	f.Fuzz(func(t *testing.T, data []byte) {
		var bytes [2]string
		for i := range bytes {
			state := NewState()
			if err := state.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			state.Apply(1000, 2, data)
			after, err := state.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			bytes[i] = string(after)
		}
		if bytes[0] != bytes[1] {
			t.Fatal("replicas have different states")
		}
	})
}

// FuzzSnapshot restores snapshots with arbitrary content and a correct checksum. They are
// either refused or lead to a state that can be encoded and restored again.
func FuzzSnapshot(f *testing.F) {
	for seed := range uint64(4) {
		data, _ := randomHarness(seed, 50).state.Snapshot()
		f.Add(data[snapshotHeader:])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		data := binary.BigEndian.AppendUint64([]byte(snapshotMagic), xxhash.Sum64(content))
		state := NewState()
		if state.Restore(append(data, content...)) != nil {
			return
		}
		state.Configuration()
		state.Progress()
		state.Orders()
		first, err := state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(first); err != nil {
			t.Fatal(err)
		}
	})
}
