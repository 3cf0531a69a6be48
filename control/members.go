package control

import (
	"context"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	replicav1 "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/replica/server"
)

// membershipLog is the part of the replicated log that membershipService uses.
type membershipLog interface {
	ChangeMembership(ctx context.Context, change replica.ConfChange) error
	Status() server.Status
}

// membershipService changes and lists the members of the cluster.
type membershipService struct{ log membershipLog }

func (m membershipService) change(ctx context.Context, request *controlv1.MembersRequest) (*controlv1.MembersResponse, error) {
	if change, requested := confChange(request); requested {
		if err := m.log.ChangeMembership(ctx, change); err != nil {
			return nil, err
		}
	}
	return m.list(), nil
}

func confChange(request *controlv1.MembersRequest) (change replica.ConfChange, requested bool) {
	switch {
	case request.GetAddLearner() != 0:
		return replica.ConfChange{Kind: replica.AddLearner, ID: request.GetAddLearner(), Addr: request.GetAddr()}, true
	case request.GetPromote() != 0:
		return replica.ConfChange{Kind: replica.Promote, ID: request.GetPromote()}, true
	case request.GetRemove() != 0:
		return replica.ConfChange{Kind: replica.Remove, ID: request.GetRemove()}, true
	}
	return replica.ConfChange{}, false
}

func (m membershipService) list() *controlv1.MembersResponse {
	response := &controlv1.MembersResponse{}
	for _, member := range m.log.Status().Membership.GetMembers() {
		listed := &fleetv1.Voter{Id: member.GetId(), Addr: member.GetAddr()}
		if member.GetRole() == replicav1.Role_ROLE_VOTER {
			response.Voters = append(response.Voters, listed)
		} else {
			response.Learners = append(response.Learners, listed)
		}
	}
	return response
}
