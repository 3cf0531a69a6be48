package replica

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkFailover measures, in virtual time, how long no write is committed after
// the leader of three replicas has failed, with the default timeouts.
func BenchmarkFailover(b *testing.B) {
	losses := map[string]func(s *sim, h *host){
		"kill":   func(_ *sim, h *host) { h.kill() },
		"freeze": func(_ *sim, h *host) { h.frozen = true },
		"cut":    func(s *sim, h *host) { s.isolate(h.id) },
	}
	for name, lose := range losses {
		b.Run(name, func(b *testing.B) {
			var gaps []time.Duration
			for seed := range uint64(b.N) {
				s := newTimedSim(b, seed, 3, DefaultElectionTimeout, DefaultHeartbeatInterval)
				s.until(20*DefaultElectionTimeout, "a leader", func() bool { return s.leader() != nil })
				s.run(time.Duration(s.rand.Int64N(int64(DefaultElectionTimeout))))
				old, from := s.leader(), s.now
				lose(s, old)
				s.commit(func() *host {
					if h := s.leader(); h != old {
						return h
					}
					return nil
				})
				gaps = append(gaps, s.now-from)
			}
			slices.Sort(gaps)
			b.ReportMetric(gaps[len(gaps)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(gaps[len(gaps)*99/100].Seconds()*1000, "p99-ms")
		})
	}
}
