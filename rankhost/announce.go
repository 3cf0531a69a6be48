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

// announceRetry is the pause after no control replica took an announcement.
const announceRetry = 300 * time.Millisecond

// rankPrefix begins the ids and pools of the records that say where ranks are
// served, apart from the engines' own records.
const rankPrefix = "rank:"

// announcer tells the control replicas which rank of which group is served here.
type announcer struct {
	settings    *Settings
	host        *Host
	finder      *replicas.Finder
	logger      *slog.Logger
	incarnation uint64
	// failing is true after a failure, so that it is logged once.
	failing bool
}

// run announces until ctx ends, and at once when the group has changed.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.host.Changed()
		pause := a.settings.HeartbeatInterval
		err := a.announce(ctx)
		if (err != nil) != a.failing && ctx.Err() == nil {
			a.failing = err != nil
			a.logger.Info("announcing the rank", slog.Bool("works", err == nil), slog.Any("error", err))
		}
		if err != nil {
			pause = announceRetry
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
		request.Endpoints = []*fleetv1.Endpoint{a.record(status)}
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

// record says where a rank is served. A group that does not run is not named, so
// that nothing is decided for it.
func (a *announcer) record(s Status) *fleetv1.Endpoint {
	record := &fleetv1.Endpoint{
		Id: rankPrefix + a.settings.Endpoint, Pool: a.settings.Pool, Role: endpoint.RoleRank, Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE,
		Zone: a.settings.Zone,
	}
	if s.Open && s.Group != "" {
		record.Group = s.Name()
		record.Rank = int32(s.Rank)
		record.GroupSize = int32(s.Size)
	}
	return record
}

// EndpointOf returns the address of the engine of a rank by the id of the rank's
// record; ok is false for the record of anything else.
func EndpointOf(id string) (address string, ok bool) { return strings.CutPrefix(id, rankPrefix) }
