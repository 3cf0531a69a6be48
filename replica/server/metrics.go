package server

import "github.com/VictoriaMetrics/metrics"

var (
	commitsTotal   = metrics.NewCounter("lilackeel_replica_commits_total")
	leaderChanges  = metrics.NewCounter("lilackeel_replica_leader_changes_total")
	preVotes       = metrics.NewCounter(`lilackeel_replica_elections_total{phase="pre_vote"}`)
	votes          = metrics.NewCounter(`lilackeel_replica_elections_total{phase="vote"}`)
	refusedDisks   = metrics.NewCounter("lilackeel_replica_refused_disks_total")
	syncSeconds    = metrics.NewHistogram("lilackeel_replica_sync_seconds")
	captureSeconds = metrics.NewHistogram("lilackeel_replica_snapshot_capture_seconds")

	snapshotSeconds = metrics.NewHistogram("lilackeel_replica_snapshot_seconds")
	snapshotBytes   = metrics.NewGauge("lilackeel_replica_snapshot_bytes", nil)
)

// exportMetrics registers the gauges of this replica. If a process runs several
// replicas, as tests do, only the first one is exported.
func (s *Server) exportMetrics() {
	metrics.GetOrCreateGauge("lilackeel_replica_term", func() float64 {
		_, _, term, _ := s.Leader()
		return float64(term)
	})
	metrics.GetOrCreateGauge("lilackeel_replica_log_bytes", func() float64 { return float64(s.logBytes.Load()) })
	metrics.GetOrCreateGauge("lilackeel_replica_reserve_missing", func() float64 {
		if s.wal.ReserveMissing() {
			return 1
		}
		return 0
	})
	metrics.GetOrCreateGauge(`lilackeel_replica_queue_length{queue="proposals"}`, func() float64 {
		return float64(len(s.proposals))
	})
	metrics.GetOrCreateGauge(`lilackeel_replica_queue_length{queue="messages"}`, func() float64 {
		return float64(len(s.inbox))
	})
	metrics.GetOrCreateGauge(`lilackeel_replica_queue_length{queue="apply"}`, func() float64 {
		return float64(s.applier.queued())
	})
}

// updateCounters adds the increase of the node's counters since the last call to
// the metrics. It runs in the loop.
func (s *Server) updateCounters() {
	counters := s.node.Counters()
	addDelta(preVotes, counters.PreVotes, s.reportedCounters.PreVotes)
	addDelta(votes, counters.Votes, s.reportedCounters.Votes)
	addDelta(refusedDisks, counters.RefusedDisks, s.reportedCounters.RefusedDisks)
	s.reportedCounters = counters
	s.logBytes.Store(int64(s.node.LogBytes()))
}

func addDelta(total *metrics.Counter, now, before uint64) {
	if now > before {
		total.AddInt64(int64(now - before))
	}
}
