package rankhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/link/replicas"
)

// announceRetryInterval is the delay after an announcement that no control replica accepted.
const announceRetryInterval = 300 * time.Millisecond

// rankIDPrefix is the prefix of the ids of rank records, which keeps them distinct from the
// engines' own endpoint records.
const rankIDPrefix = "rank:"

// announcer announces the rank that this host serves to the control replicas.
type announcer struct {
	settings    *Settings
	host        *Host
	finder      *replicas.Finder
	logger      *slog.Logger
	incarnation uint64
	// lastFailed reports whether the last announcement failed; only changes of it are logged.
	lastFailed bool
}

// run announces the rank periodically until ctx ends, and immediately when its group changes.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.host.Changed()
		pause := a.settings.HeartbeatInterval
		err := a.announce(ctx)
		if (err != nil) != a.lastFailed && ctx.Err() == nil {
			a.lastFailed = err != nil
			a.logger.Info("announcements of the rank started or stopped working", slog.Bool("works", err == nil), slog.Any("error", err))
		}
		if err != nil {
			pause = announceRetryInterval
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (a *announcer) announce(ctx context.Context) error {
	request := &controlv1.AnnounceRequest{
		Agent: a.settings.Name, Host: a.settings.Name, Zone: a.settings.Zone, Addr: a.settings.Listen,
		Incarnation: a.incarnation, Full: true,
	}
	status, _, ok := a.host.Status()
	if ok {
		request.Endpoints = []*fleetv1.Endpoint{a.endpointRecord(status)}
	}
	var response *controlv1.AnnounceResponse
	err := a.finder.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		var err error
		response, err = client.Announce(ctx, request)
		return err
	})
	a.finder.SetAddrs(response.GetReplicas())
	return err
}

// endpointRecord returns the rank's record. It names no group while the group is not running, so
// that the control leader makes no decisions for such a group.
func (a *announcer) endpointRecord(s Status) *fleetv1.Endpoint {
	record := &fleetv1.Endpoint{
		Id: rankIDPrefix + a.settings.Endpoint, Pool: a.settings.Pool, Role: endpoint.RoleRank, Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE,
		Zone: a.settings.Zone,
	}
	if s.Open && s.Group != "" {
		record.Group = s.FormationName()
		record.Rank = int32(s.Rank)
		record.GroupSize = int32(s.Size)
	}
	return record
}

// EngineAddr returns the address of the engine that a rank record belongs to, given the record's
// id. ok is false if the id is not that of a rank record.
func EngineAddr(id string) (address string, ok bool) { return strings.CutPrefix(id, rankIDPrefix) }
