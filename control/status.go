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
	// statusTimeout bounds what another replica may take to report.
	statusTimeout = time.Second
	// liveDaemonMs is the age of the last sign of a daemon, in milliseconds, from
	// which on it counts as gone.
	liveDaemonMs = 10_000
)

// reports gathers what the replicas know of the daemons.
type reports struct {
	id      uint64
	log     Log
	members membership
	state   *contract.State
	daemons *feed.Daemons
	pool    *link.Pool
}

// status reports for the whole fleet. An unreachable replica is left out; the
// daemons that report to it only are then missing or old.
func (r *reports) status(ctx context.Context, current *leadership) *controlv1.StatusResponse {
	if marked(ctx, localKey) {
		return r.local()
	}
	response, _ := r.gathered(ctx)
	response.SlowestRevision, response.SlowestDaemon = slowest(response.GetDaemons())
	response.Intents = r.progress(response.GetDaemons(), current)
	return response
}

// gathered joins what all replicas know. It reports whether all have answered.
func (r *reports) gathered(ctx context.Context) (response *controlv1.StatusResponse, complete bool) {
	response = r.local()
	others := r.gather(ctx)
	merge(response, others)
	return response, len(others) >= len(response.GetReplicas())-1
}

// local reports what this replica knows by itself.
func (r *reports) local() *controlv1.StatusResponse {
	leader, _, term, _ := r.log.Leader()
	response := &controlv1.StatusResponse{
		Revision: r.state.Revision(),
		Term:     term,
		Leader:   leader,
		Daemons:  r.daemons.List(time.Now()),
	}
	status := r.members.Status()
	for _, member := range status.Membership.GetMembers() {
		replica := &controlv1.ReplicaStatus{
			Id:    member.GetId(),
			Addr:  member.GetAddr(),
			Voter: member.GetRole() == replicav1.Role_ROLE_VOTER,
		}
		if member.GetId() == r.id {
			replica.Applied = status.Applied
		}
		response.Replicas = append(response.Replicas, replica)
	}
	return response
}

// gather asks the other replicas for what they know.
func (r *reports) gather(ctx context.Context) []*controlv1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, localKey, markSet)
	var (
		mu       sync.Mutex
		gathered []*controlv1.StatusResponse
		group    sync.WaitGroup
	)
	for _, member := range r.members.Status().Membership.GetMembers() {
		if member.GetId() == r.id {
			continue
		}
		group.Go(func() {
			conn, err := r.pool.Get(member.GetAddr())
			if err != nil {
				return
			}
			response, err := controlv1.NewControlClient(conn).Status(ctx, &controlv1.StatusRequest{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			gathered = append(gathered, response)
		})
	}
	group.Wait()
	return gathered
}

// merge adds what others know: each replica knows best how far it is itself, and
// the replica with the latest report of a daemon knows best about it.
func merge(response *controlv1.StatusResponse, others []*controlv1.StatusResponse) {
	daemons := map[string]*controlv1.DaemonStatus{}
	for _, each := range append(others, response) {
		for _, daemon := range each.GetDaemons() {
			known := daemons[daemon.GetName()]
			if known == nil || daemon.GetHeardMs() < known.GetHeardMs() {
				daemons[daemon.GetName()] = daemon
			}
		}
		for i, replica := range response.GetReplicas() {
			for _, reported := range each.GetReplicas() {
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

// slowest returns the live daemon that acts on the lowest revision.
func slowest(daemons []*controlv1.DaemonStatus) (revision uint64, name string) {
	for _, daemon := range daemons {
		if daemon.GetHeardMs() > liveDaemonMs {
			continue
		}
		if name == "" || daemon.GetRevision() < revision {
			revision, name = daemon.GetRevision(), daemon.GetName()
		}
	}
	return revision, name
}

// progress says what each confirmed intent still waits for, the daemons that
// have not acknowledged its revision included.
func (r *reports) progress(daemons []*controlv1.DaemonStatus, current *leadership) []*controlv1.IntentProgress {
	list := r.state.Progress()
	for _, intent := range list {
		intent.WaitingFor = append(intent.WaitingFor, behind(daemons, intent.GetRevision())...)
	}
	if current == nil {
		return list
	}
	for _, intent := range list {
		for i, line := range intent.GetWaitingFor() {
			intent.WaitingFor[i] = current.explain(line)
		}
	}
	return list
}

// behind names the live daemons that do not act on the revision yet.
func behind(daemons []*controlv1.DaemonStatus, revision uint64) []string {
	var waiting []string
	for _, daemon := range daemons {
		if daemon.GetHeardMs() <= liveDaemonMs && daemon.GetRevision() < revision {
			waiting = append(waiting, fmt.Sprintf("%s %s to act on revision %d (it is at %d)",
				daemon.GetRole(), daemon.GetName(), revision, daemon.GetRevision()))
		}
	}
	return waiting
}
