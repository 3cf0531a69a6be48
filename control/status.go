package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/metadata"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	replicav1 "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/link"
)

const (
	// statusTimeout bounds how long other replicas may take to report.
	statusTimeout = time.Second
	// daemonTimeoutMs is the age of a daemon's last report, in milliseconds, above which the
	// daemon counts as gone.
	daemonTimeoutMs = 10_000
)

// statusCollector collects the status of the fleet from all replicas.
type statusCollector struct {
	id      uint64
	log     Log
	members membershipLog
	state   *contract.State
	daemons *feed.Daemons
	pool    *link.Pool
}

// status returns the status of the whole fleet. An unreachable replica is left out; daemons
// that report only to it are then missing or out of date.
func (c *statusCollector) status(ctx context.Context, current *leadership) *controlv1.StatusResponse {
	if hasMetadata(ctx, localKey) {
		return c.localStatus()
	}
	response, _ := c.fleetStatus(ctx)
	response.SlowestRevision, response.SlowestDaemon = slowestDaemon(response.GetDaemons())
	response.Intents = c.intentProgress(response.GetDaemons(), current)
	return response
}

// fleetStatus merges the status of all replicas. It reports whether all have answered.
func (c *statusCollector) fleetStatus(ctx context.Context) (response *controlv1.StatusResponse, complete bool) {
	response = c.localStatus()
	others := c.queryPeers(ctx)
	mergeStatus(response, others)
	return response, len(others) >= len(response.GetReplicas())-1
}

// localStatus returns the status as known to this replica alone.
func (c *statusCollector) localStatus() *controlv1.StatusResponse {
	leader, _, term, _ := c.log.Leader()
	response := &controlv1.StatusResponse{
		Revision: c.state.Revision(),
		Term:     term,
		Leader:   leader,
		Daemons:  c.daemons.List(time.Now()),

		EvacuatedZones: c.state.EvacuatedZones(),
	}
	status := c.members.Status()
	for _, member := range status.Membership.GetMembers() {
		replica := &controlv1.ReplicaStatus{
			Id:    member.GetId(),
			Addr:  member.GetAddr(),
			Voter: member.GetRole() == replicav1.Role_ROLE_VOTER,
		}
		if member.GetId() == c.id {
			replica.Applied = status.Applied
		}
		response.Replicas = append(response.Replicas, replica)
	}
	return response
}

// queryPeers asks the other replicas for their local status.
func (c *statusCollector) queryPeers(ctx context.Context) []*controlv1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, localKey, metadataSet)
	var (
		mu        sync.Mutex
		responses []*controlv1.StatusResponse
		group     sync.WaitGroup
	)
	for _, member := range c.members.Status().Membership.GetMembers() {
		if member.GetId() == c.id {
			continue
		}
		group.Go(func() {
			conn, err := c.pool.Get(member.GetAddr())
			if err != nil {
				return
			}
			response, err := controlv1.NewControlClient(conn).Status(ctx, &controlv1.StatusRequest{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, response)
		})
	}
	group.Wait()
	return responses
}

// mergeStatus merges the status of other replicas into response. Each replica knows its own
// progress best, and the replica with the latest report of a daemon knows that daemon best.
func mergeStatus(response *controlv1.StatusResponse, others []*controlv1.StatusResponse) {
	daemons := map[string]*controlv1.DaemonStatus{}
	for _, source := range append(others, response) {
		for _, daemon := range source.GetDaemons() {
			known := daemons[daemon.GetName()]
			if known == nil || daemon.GetHeardMs() < known.GetHeardMs() {
				daemons[daemon.GetName()] = daemon
			}
		}
		for i, replica := range response.GetReplicas() {
			for _, reported := range source.GetReplicas() {
				if reported.GetId() == replica.GetId() {
					response.Replicas[i].Applied = max(replica.GetApplied(), reported.GetApplied())
				}
			}
		}
	}
	response.Daemons = nil
	for _, daemon := range daemons {
		response.Daemons = append(response.Daemons, daemon)
	}
	slices.SortFunc(response.Daemons, func(a, b *controlv1.DaemonStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
}

// slowestDaemon returns the live daemon with the lowest applied revision.
func slowestDaemon(daemons []*controlv1.DaemonStatus) (revision uint64, name string) {
	for _, daemon := range daemons {
		if daemon.GetHeardMs() > daemonTimeoutMs {
			continue
		}
		if name == "" || daemon.GetRevision() < revision {
			revision, name = daemon.GetRevision(), daemon.GetName()
		}
	}
	return revision, name
}

// intentProgress returns what each confirmed intent still waits for, including the daemons that
// have not applied its revision.
func (c *statusCollector) intentProgress(daemons []*controlv1.DaemonStatus, current *leadership) []*controlv1.IntentProgress {
	intents := c.state.Progress()
	for _, intent := range intents {
		intent.WaitingFor = append(intent.WaitingFor, daemonsBehind(daemons, intent.GetRevision())...)
	}
	if current == nil {
		return intents
	}
	for _, intent := range intents {
		for i, line := range intent.GetWaitingFor() {
			intent.WaitingFor[i] = current.annotate(line)
		}
	}
	return intents
}

// daemonsBehind describes the live daemons that have not yet applied the revision.
func daemonsBehind(daemons []*controlv1.DaemonStatus, revision uint64) []string {
	var waiting []string
	for _, daemon := range daemons {
		if daemon.GetHeardMs() <= daemonTimeoutMs && daemon.GetRevision() < revision {
			waiting = append(waiting, fmt.Sprintf("%s %s to act on revision %d (it is at %d)",
				daemon.GetRole(), daemon.GetName(), revision, daemon.GetRevision()))
		}
	}
	return waiting
}
