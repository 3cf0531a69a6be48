package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/wait"
)

const (
	// tellHosts is how many hosts are told: each reaches all entries, and two may be lost.
	tellHosts = 3
	// tellTries bounds the hosts that are tried.
	tellTries = 9
	// tellTimeout is how long a host may take.
	tellTimeout = 300 * time.Millisecond
	// tellPause is the time between two tellings, which bounds what mass ends cost.
	tellPause = 100 * time.Millisecond
	// tellAgain is the time after which a telling that no host took is tried again, and
	// between two looks for what is too old to count.
	tellAgain = time.Second
	// knownSightings bounds what a host is told when its reports are first asked for.
	knownSightings = 64
)

// countQuarantine publishes how many requests are known and held.
func countQuarantine(book *quarantine.Book) {
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="known"}`, func() float64 {
		known, _ := book.Len(time.Since(processStart))
		return float64(known)
	})
	metrics.GetOrCreateGauge(`lilackeel_entry_quarantine_requests{state="held"}`, func() float64 {
		_, held := book.Len(time.Since(processStart))
		return float64(held)
	})
}

// tell passes on what this entry has sighted, until ctx ends. It goes to hosts whose reports
// all entries read, not to control replicas: an entry that is cut off from those is told too.
func (p *Reports) tell(ctx context.Context) {
	ticker := time.NewTicker(tellAgain)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.book.Forget(time.Since(processStart))
		case <-p.book.Own().Changed():
		}
		for {
			sightings, next := p.book.Own().Since(told)
			if len(sightings) == 0 {
				break
			}
			if !p.tellSome(ctx, sightings) {
				break
			}
			told = next
			wait.For(ctx, tellPause)
		}
	}
}

// tellSome tells some hosts. It returns false if none took it, which is tried again later.
func (p *Reports) tellSome(ctx context.Context, sightings []quarantine.Sighting) bool {
	hosts := p.hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	took := 0
	for _, addr := range hosts[:min(len(hosts), tellTries)] {
		request := &agentv1.TellRequest{Sightings: quarantine.ToProto(time.Since(processStart), sightings)}
		if err := p.tellOne(ctx, addr, request); err != nil {
			p.logger.DebugContext(ctx, "a host was not told", slog.String("agent", addr), slog.Any("error", err))
			continue
		}
		if took++; took == tellHosts {
			break
		}
	}
	return took > 0
}

func (p *Reports) tellOne(ctx context.Context, addr string, request *agentv1.TellRequest) error {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	_, err = agentv1.NewAgentClient(connection).Tell(ctx, request)
	return err
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

// known is what a host is told when its reports are asked for: it may have started anew.
func (p *Reports) known() []*agentv1.Sighting {
	return quarantine.ToProto(time.Since(processStart), p.book.Known(knownSightings))
}

// takeSightings takes in what others have sighted.
func (p *Reports) takeSightings(now time.Duration, messages []*agentv1.Sighting) {
	for _, f := range p.book.Take(now, quarantine.FromProto(now, messages)) {
		p.logger.Info("holding a request on the word of others", slog.Any("fingerprint", f), slog.Duration("hold", p.book.Held(now, f)))
	}
}
