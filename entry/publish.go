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
	// publishHosts is how many hosts get a report: each reaches all entries, and two may be lost.
	publishHosts = 3
	// publishTries bounds the hosts that are tried.
	publishTries = 9
	// publishTimeout is how long a host may take.
	publishTimeout = 300 * time.Millisecond
	// publishPause is the time between two publications, which bounds the cost of mass crashes.
	publishPause = 100 * time.Millisecond
	// publishRetry is the time after which a publication that no host took is retried, and
	// between two evictions of old reports.
	publishRetry = time.Second
	// snapshotReports bounds the crash reports that go with a request for load reports.
	snapshotReports = 64
)

// countQuarantine publishes how many requests are known and held.
func countQuarantine(crashes *quarantine.Tracker) {
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="known"}`, func() float64 {
		known, _ := crashes.Len(time.Since(processStart))
		return float64(known)
	})
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="held"}`, func() float64 {
		_, held := crashes.Len(time.Since(processStart))
		return float64(held)
	})
}

// publishCrashReports publishes the crash reports of this entry until ctx ends, at hosts whose
// load reports all entries read: an entry that is cut off from the control replicas gets them too.
func (p *Reports) publishCrashReports(ctx context.Context) {
	ticker := time.NewTicker(publishRetry)
	defer ticker.Stop()
	var published uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.crashes.Forget(time.Since(processStart))
		case <-p.crashes.Published().Changed():
		}
		for {
			reports, next := p.crashes.Published().Since(published)
			if len(reports) == 0 {
				break
			}
			if !p.publishToSome(ctx, reports) {
				break
			}
			published = next
			wait.For(ctx, publishPause)
		}
	}
}

// publishSuspicions publishes the suspicions of this entry until ctx ends.
func (p *Reports) publishSuspicions(ctx context.Context) {
	ticker := time.NewTicker(publishRetry)
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
			p.atSomeHosts(ctx, func(ctx context.Context, host agentv1.AgentClient) error {
				_, err := host.PublishSuspicions(ctx, &agentv1.PublishSuspicionsRequest{Suspicions: suspicion.ToProto(time.Since(processStart), published)})
				return err
			})
		}
		wait.For(ctx, publishPause)
	}
}

// publishToSome publishes reports at some hosts. It returns false if none took them.
func (p *Reports) publishToSome(ctx context.Context, reports []quarantine.CrashReport) bool {
	return p.atSomeHosts(ctx, func(ctx context.Context, host agentv1.AgentClient) error {
		_, err := host.PublishCrashReports(ctx, &agentv1.PublishCrashReportsRequest{CrashReports: quarantine.ToProto(time.Since(processStart), reports)})
		return err
	})
}

// atSomeHosts publishes something at some hosts. It returns false if none took it.
func (p *Reports) atSomeHosts(ctx context.Context, publish func(context.Context, agentv1.AgentClient) error) bool {
	hosts := p.hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	took := 0
	for _, addr := range hosts[:min(len(hosts), publishTries)] {
		if err := p.at(ctx, addr, publish); err != nil {
			p.logger.DebugContext(ctx, "a host did not take what was published", slog.String("agent", addr), slog.Any("error", err))
			continue
		}
		if took++; took == publishHosts {
			break
		}
	}
	return took > 0
}

func (p *Reports) at(ctx context.Context, addr string, publish func(context.Context, agentv1.AgentClient) error) error {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return publish(ctx, agentv1.NewAgentClient(connection))
}

// hosts returns the addresses whose reports are followed.
func (p *Reports) hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]string, 0, len(p.stops))
	for addr := range p.stops {
		hosts = append(hosts, addr)
	}
	return hosts
}

// known returns the crash reports for a host that may have started anew.
func (p *Reports) known() []*agentv1.CrashReport {
	return quarantine.ToProto(time.Since(processStart), p.crashes.Snapshot(snapshotReports))
}

// mergeCrashReports merges the crash reports of others.
func (p *Reports) mergeCrashReports(now time.Duration, messages []*agentv1.CrashReport) {
	for _, f := range p.crashes.Merge(now, quarantine.FromProto(now, messages)) {
		p.logger.Info("holding a request that others reported", slog.Any("fingerprint", f), slog.Duration("hold", p.crashes.Held(now, f)))
	}
}
