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

// streams measures the memory of streams held open, direct and by the path.
func streams(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		return err
	}
	defer f.Close()
	f.Engine.SetFaults(standin.Faults{Stall: true})
	direct, err := hold(f, f.EngineURL)
	if err != nil {
		return err
	}
	path, err := hold(f, f.EntryURL)
	if err != nil {
		return err
	}
	figures.Streams = StreamCost{Held: heldStreams, BytesPerStream: path, DirectBytesPerStream: direct}
	fmt.Fprintf(w, "%d streams held: %.1f KB each for caller, entry, agent and stand-in together; %.1f KB each when held directly\n",
		heldStreams, path/1e3, direct/1e3)
	return nil
}

// hold opens streams, measures the memory that they take and gives them up.
func hold(f *Fleet, base string) (bytesPerStream float64, err error) {
	before := memory()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	runs, _ := f.Engine.Counts()
	for range heldStreams {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", newBody())
		if err != nil {
			cancel()
			return 0, err
		}
		request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
		group.Go(func() {
			if response, err := client.Do(request); err == nil {
				_ = drain(response)
			}
		})
	}
	err = until(func() bool { now, _ := f.Engine.Counts(); return now-runs >= heldStreams })
	after := memory()
	cancel()
	group.Wait()
	client.CloseIdleConnections()
	return (after - before) / heldStreams, err
}

// memory is what the process holds: heap in use and stacks, after a collection.
func memory() float64 {
	var stats runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// until waits for a condition.
func until(holds func() bool) error {
	for end := time.Now().Add(startTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the streams were not all open within %v; run it on a less busy machine", startTimeout)
		}
	}
	return nil
}
