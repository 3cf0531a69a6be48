package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// publishReplicas is how many hosts a report is published to. One host suffices to reach all
	// entries, so two may fail.
	publishReplicas = 3
	// maxPublishAttempts bounds the number of hosts that are tried.
	maxPublishAttempts = 9
	// publishTimeout is the timeout of a call to one host.
	publishTimeout = 300 * time.Millisecond
	// publishInterval is the minimum time between two publications, which bounds the cost of mass
	// crashes.
	publishInterval = 100 * time.Millisecond
	// publishRetryInterval is the time after which a publication that no host accepted is retried,
	// and the interval at which old reports are evicted.
	publishRetryInterval = time.Second
	// heldPartsLogInterval is the interval at which the held prompt parts are logged again: the lines
	// from the beginning of a hold are soon outnumbered by those of the requests that it refuses.
	heldPartsLogInterval = 10 * time.Second
	// maxSnapshotReports bounds the crash reports that are sent when a report stream is opened.
	maxSnapshotReports = 64
)

// registerQuarantineGauges registers the metrics of the number of requests with recorded crashes
// and of quarantined requests.
func registerQuarantineGauges(crashes *quarantine.Tracker) {
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="known"}`, func() float64 {
		known, _ := crashes.Counts(time.Since(processStart))
		return float64(known)
	})
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="held"}`, func() float64 {
		_, held := crashes.Counts(time.Since(processStart))
		return float64(held)
	})
}

// registerQuarantinedPartGauges registers the metrics of the number of prompt parts with recorded
// crashes and of quarantined parts.
func registerQuarantinedPartGauges(parts *quarantine.PartTracker) {
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_parts{state="known"}`, func() float64 {
		known, _ := parts.Counts(time.Since(processStart))
		return float64(known)
	})
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_parts{state="held"}`, func() float64 {
		_, held := parts.Counts(time.Since(processStart))
		return float64(held)
	})
}

// publishCrashReports publishes the crash reports of this entry until ctx ends. They go to hosts,
// whose reports all entries read, so that entries without a connection to the control replicas get
// them too.
func (p *ReportSubscriber) publishCrashReports(ctx context.Context) {
	ticker := time.NewTicker(publishRetryInterval)
	defer ticker.Stop()
	var published uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.crashes.EvictStale(time.Since(processStart))
			p.crashes.Parts().SetEntries(p.Readers())
		case <-p.crashes.LocalReports().Changed():
		}
		for {
			reports, next := p.crashes.LocalReports().Since(published)
			if len(reports) == 0 {
				break
			}
			if !p.publishReports(ctx, reports) {
				break
			}
			published = next
			wait.For(ctx, publishInterval)
		}
	}
}

// logHeldParts logs the held prompt parts periodically until ctx ends.
func (p *ReportSubscriber) logHeldParts(ctx context.Context) {
	for wait.For(ctx, heldPartsLogInterval); ctx.Err() == nil; wait.For(ctx, heldPartsLogInterval) {
		held := p.crashes.Parts().Held(time.Since(processStart))
		for i := range held {
			quarantine.LogHeldPart(p.logger, &held[i])
		}
	}
}

// publishSuspicions publishes the suspicions of this entry until ctx ends.
func (p *ReportSubscriber) publishSuspicions(ctx context.Context) {
	ticker := time.NewTicker(publishRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.suspects.Expire(time.Since(processStart))
			continue
		case <-p.suspects.ReportsReady():
		}
		if published := p.suspects.TakeReports(); len(published) > 0 {
			p.publishToHosts(ctx, func(ctx context.Context, host agentv1.AgentClient) error {
				_, err := host.PublishSuspicions(ctx, &agentv1.PublishSuspicionsRequest{Suspicions: suspicion.ToProto(time.Since(processStart), published)})
				return err
			})
		}
		wait.For(ctx, publishInterval)
	}
}

// publishReports publishes crash reports to several hosts. It returns false if none accepted them.
func (p *ReportSubscriber) publishReports(ctx context.Context, reports []quarantine.CrashReport) bool {
	return p.publishToHosts(ctx, func(ctx context.Context, host agentv1.AgentClient) error {
		_, err := host.PublishCrashReports(ctx, &agentv1.PublishCrashReportsRequest{CrashReports: quarantine.ToProto(time.Since(processStart), reports)})
		return err
	})
}

// publishToHosts calls publish for randomly chosen hosts until publishReplicas of them have
// accepted. It returns false if none has.
func (p *ReportSubscriber) publishToHosts(ctx context.Context, publish func(context.Context, agentv1.AgentClient) error) bool {
	hosts := p.reportingHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	accepted := 0
	for _, addr := range hosts[:min(len(hosts), maxPublishAttempts)] {
		if err := p.publishToHost(ctx, addr, publish); err != nil {
			p.logger.DebugContext(ctx, "publishing to a host failed", slog.String("agent", addr), slog.Any("error", err))
			continue
		}
		if accepted++; accepted == publishReplicas {
			break
		}
	}
	return accepted > 0
}

func (p *ReportSubscriber) publishToHost(ctx context.Context, addr string, publish func(context.Context, agentv1.AgentClient) error) error {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return publish(ctx, agentv1.NewAgentClient(connection))
}

// reportingHosts returns the addresses of the hosts whose reports are read.
func (p *ReportSubscriber) reportingHosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]string, 0, len(p.cancels))
	for addr := range p.cancels {
		hosts = append(hosts, addr)
	}
	return hosts
}

// knownCrashReports returns the crash reports to send to a host that may have restarted.
func (p *ReportSubscriber) knownCrashReports() []*agentv1.CrashReport {
	return quarantine.ToProto(time.Since(processStart), p.crashes.Snapshot(maxSnapshotReports))
}

// mergeCrashReports merges the crash reports of other entries.
func (p *ReportSubscriber) mergeCrashReports(now time.Duration, messages []*agentv1.CrashReport) {
	for _, fingerprint := range p.crashes.Merge(now, quarantine.FromProto(now, messages)) {
		if fingerprint.IsPart() {
			state := p.crashes.Parts().State(now, fingerprint)
			quarantine.LogHeldPart(p.logger, &state)
			continue
		}
		p.logger.Info("quarantined a request that other entries reported", slog.Any("fingerprint", fingerprint), slog.Duration("hold", p.crashes.HoldRemaining(now, fingerprint)))
	}
}
