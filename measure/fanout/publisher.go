package fanout

import (
	"fmt"
	"sync"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/feed"
)

// endpointsPerAgent is the number of endpoints behind one agent.
const endpointsPerAgent = 8

// publisher is the state machine of a control replica without its replicated log.
// It always reports its state as confirmed at the current time.
type publisher struct {
	*contract.State

	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

var _ feed.Source = (*publisher)(nil)

func newPublisher() *publisher {
	return &publisher{State: contract.NewState(), changed: make(chan struct{})}
}

// DeltaSince implements feed.Source.
func (p *publisher) DeltaSince(revision uint64) *fleetv1.Delta {
	delta, ok := p.State.DeltaSince(revision)
	if !ok {
		return nil
	}
	return delta
}

// Changed implements feed.Source.
func (p *publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Freshness implements feed.Source.
func (p *publisher) Freshness() (revision uint64, at time.Time, ok bool) {
	return p.Revision(), time.Now(), true
}

// applyCommand applies an encoded command to the state and wakes the watchers. A
// non-nil err, the error of encoding the command, is returned unchanged.
func (p *publisher) applyCommand(data []byte, err error) (*contract.Result, error) {
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	result := p.Apply(p.index, 1, data).(*contract.Result)
	if result.Err != nil {
		return nil, result.Err
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return result, nil
}

// accept plans and confirms an intent.
func (p *publisher) accept(intent *controlv1.Intent) (revision uint64, err error) {
	planned, err := p.applyCommand(contract.EncodePlan(0, intent))
	if err != nil {
		return 0, err
	}
	confirmed, err := p.applyCommand(contract.EncodeConfirm(0, &controlv1.ConfirmRequest{
		IntentId: intent.GetId(), Digest: planned.Plan.GetDigest(), Operator: intent.GetOperator(),
	}))
	if err != nil {
		return 0, err
	}
	return confirmed.Revision, nil
}

// addWorkspaces accepts count workspaces in batches.
func (p *publisher) addWorkspaces(count int) error {
	const batch = 500
	for first := 0; first < count; first += batch {
		intent := &controlv1.Intent{Id: fmt.Sprint("fill-", first), Operator: "measure"}
		for i := first; i < min(first+batch, count); i++ {
			intent.Workspaces = append(intent.Workspaces, workspace(i, 1))
		}
		if _, err := p.accept(intent); err != nil {
			return err
		}
	}
	return nil
}

// addAgents applies the announcements of count agents with their endpoints.
func (p *publisher) addAgents(count int) error {
	for i := range count {
		if _, err := p.applyCommand(contract.EncodeAnnounce(0, announcement(i))); err != nil {
			return err
		}
	}
	return nil
}

// changeIntent returns an intent that changes one workspace.
func changeIntent(number, workspaces int) *controlv1.Intent {
	changed := workspace(number%workspaces, int32(2+number%90))
	return &controlv1.Intent{Id: fmt.Sprint("change-", number), Operator: "measure", Workspaces: []*fleetv1.Workspace{changed}}
}

func workspace(number int, importance int32) *fleetv1.Workspace {
	digest := fmt.Sprintf("%064x", number+1)
	return &fleetv1.Workspace{
		Name: fmt.Sprintf("workspace-%05d", number), Importance: importance, MaxConcurrent: 64, MaxQueue: 256,
		Models: []string{"lilackeel-pool"}, KeyDigests: []string{digest},
	}
}

func announcement(number int) *controlv1.AnnounceRequest {
	name := fmt.Sprintf("agent-%04d", number)
	request := &controlv1.AnnounceRequest{
		Agent: name, Host: fmt.Sprintf("host-%04d", number), Zone: zones[number%len(zones)], Region: "tn-sahel",
		Addr: fmt.Sprintf("10.0.%d.%d:7400", number/250, number%250), Incarnation: 1, Full: true,
	}
	for i := range endpointsPerAgent {
		request.Endpoints = append(request.Endpoints, &fleetv1.Endpoint{
			Id: fmt.Sprintf("engine-%04d-%d", number, i), Pool: "lilackeel-pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Model: "roster", Version: "1", Slots: 8, Role: "both",
		})
	}
	return request
}

var zones = []string{"sahel-a", "sahel-b", "sahel-c"}
