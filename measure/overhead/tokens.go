package overhead

import (
	"fmt"
	"io"
	"time"

	"github.com/lilackeel/lilackeel/standin"
)

const (
	// tokenInterval is the time between two tokens of a stream, long enough that
	// tokens are not coalesced into one write.
	tokenInterval = 10 * time.Millisecond
	// longStreamTokens and shortStreamTokens are the lengths of the two kinds of
	// streams.
	longStreamTokens, shortStreamTokens = 101, 1
	// concurrentStreams is the number of streams that run at the same time, and
	// streamRounds the number of streams that each caller runs in sequence.
	concurrentStreams, streamRounds = 64, 2
)

// TokenCost is the CPU time of one streamed token, in microseconds.
type TokenCost struct {
	// Path is the CPU time of caller, entry, agent and stand-in together, Direct
	// that of caller and stand-in.
	Path   float64 `json:"path_cpu_us"`
	Direct float64 `json:"direct_cpu_us"`
}

// measureTokens measures the CPU time of one additional token in a stream.
func measureTokens(w io.Writer, figures *Figures) error {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots, TokenTime: tokenInterval}})
	if err != nil {
		return err
	}
	defer f.Close()
	if figures.Token.Path, err = tokenCPU(f, f.EntryURL); err != nil {
		return err
	}
	if figures.Token.Direct, err = tokenCPU(f, f.EngineURL); err != nil {
		return err
	}
	fmt.Fprintf(w, "one streamed token, %d concurrent streams: %.1f us of CPU time, of which a direct stream takes %.1f us\n",
		concurrentStreams, figures.Token.Path, figures.Token.Direct)
	return nil
}

// tokenCPU returns the CPU time per token in microseconds, computed from the
// difference between long and short streams.
func tokenCPU(f *Fleet, base string) (float64, error) {
	long, err := streamCPU(f, base, longStreamTokens)
	if err != nil {
		return 0, err
	}
	short, err := streamCPU(f, base, shortStreamTokens)
	if err != nil {
		return 0, err
	}
	return (long - short) / (longStreamTokens - shortStreamTokens), nil
}

// streamCPU returns the CPU time of one stream, in microseconds.
func streamCPU(f *Fleet, base string, tokens int) (float64, error) {
	startCPU := cpuTime()
	err := runConcurrently(concurrentStreams, func() error {
		for range streamRounds {
			if err := f.Complete(base, tokens); err != nil {
				return err
			}
		}
		return nil
	})
	usedCPU := cpuTime() - startCPU
	return float64(usedCPU.Microseconds()) / (concurrentStreams * streamRounds), err
}
