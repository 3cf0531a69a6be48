package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/standin"
)

// measureStreams measures the memory of open streams, direct and through entry and
// agent.
func measureStreams(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	f.Engine.SetFaults(standin.Faults{Stall: true})
	direct, err := holdStreams(f, f.EngineURL)
	if err != nil {
		return err
	}
	path, err := holdStreams(f, f.EntryURL)
	if err != nil {
		return err
	}
	figures.Streams = StreamCost{Held: heldStreams, BytesPerStream: path, DirectBytesPerStream: direct}
	fmt.Fprintf(w, "%d open streams: %.1f KB each for caller, entry, agent and stand-in together; %.1f KB each for direct streams\n",
		heldStreams, path/1e3, direct/1e3)
	return nil
}

// holdStreams opens heldStreams streams, measures the memory that they use and
// cancels them.
func holdStreams(f *Fleet, base string) (bytesPerStream float64, err error) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	runsBefore, _ := f.Engine.Counts()
	for range heldStreams {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", newChatBody())
		if err != nil {
			cancel()
			return 0, err
		}
		request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
		group.Go(func() {
			if response, err := client.Do(request); err == nil {
				_ = readResponse(response)
			}
		})
	}
	err = waitForStreams(func() bool { now, _ := f.Engine.Counts(); return now-runsBefore >= heldStreams })
	after := memoryInUse()
	cancel()
	group.Wait()
	client.CloseIdleConnections()
	return (after - before) / heldStreams, err
}

// memoryInUse returns the size of the heap spans and stacks in use after garbage
// collection, in bytes.
func memoryInUse() float64 {
	var stats runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// waitForStreams waits until condition reports that all streams are open.
func waitForStreams(condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("not all streams were open within %v; run the measurement on a less busy machine", startTimeout)
		}
	}
	return nil
}
