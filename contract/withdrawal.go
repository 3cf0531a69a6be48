package contract

import (
	"slices"

	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// anyIncarnation in a withdrawal stands for the first incarnation that announces itself.
const anyIncarnation = 0

// maxWithdrawals is how many withdrawals of endpoints that were not announced are kept. Such an
// endpoint sends no further announcements, so only those that were under way when it withdrew
// can refer to a record.
const maxWithdrawals = 8192

// withdrawalTable holds the withdrawals that arrived before the first announcement of their
// endpoint.
type withdrawalTable struct {
	limit int
	known map[AgentRef]bool
	order []AgentRef // oldest first
}

func newWithdrawalTable(limit int) withdrawalTable {
	return withdrawalTable{limit: limit, known: map[AgentRef]bool{}}
}

// add adds a withdrawal. Above the limit the oldest one is dropped.
func (t *withdrawalTable) add(ref AgentRef) {
	if t.known[ref] {
		return
	}
	t.known[ref] = true
	t.order = append(t.order, ref)
	if len(t.order) > t.limit {
		t.remove(t.order[0])
	}
}

func (t *withdrawalTable) remove(ref AgentRef) {
	delete(t.known, ref)
	t.order = slices.DeleteFunc(t.order, func(other AgentRef) bool { return other == ref })
}

// includes reports whether an incarnation of an endpoint has withdrawn.
func (t *withdrawalTable) includes(ref AgentRef) bool {
	return t.known[ref] || t.known[AgentRef{ref.Name, anyIncarnation}]
}

// bind replaces a withdrawal of any incarnation by one of the incarnation that has announced
// itself, so that a later start of the endpoint is not affected.
func (t *withdrawalTable) bind(ref AgentRef) {
	unbound := AgentRef{ref.Name, anyIncarnation}
	if t.known[unbound] {
		t.remove(unbound)
		t.add(ref)
	}
}

func (t *withdrawalTable) messages() []*contractv1.AgentRef {
	var messages []*contractv1.AgentRef
	for _, ref := range t.order {
		messages = append(messages, ref.message())
	}
	return messages
}

// EncodeWithdraw encodes a command that withdraws an endpoint that announces itself before its
// first announcement has arrived. An incarnation of zero stands for the first one that does.
func EncodeWithdraw(logTime int64, endpoint AgentRef) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Withdraw{Withdraw: &contractv1.Withdraw{Endpoint: endpoint.message()}}})
}

// Withdrawn reports whether the withdrawal of an endpoint that is not announced is recorded.
func (s *State) Withdrawn(endpoint AgentRef) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.withdrawals.includes(endpoint)
}

// applyWithdraw records a withdrawal. If the endpoint has been announced since the command was
// proposed, it leaves at once.
func (s *State) applyWithdraw(withdraw *contractv1.Withdraw) *Result {
	ref := AgentRef{withdraw.GetEndpoint().GetAgent(), withdraw.GetEndpoint().GetIncarnation()}
	if err := checkName("endpoint", ref.Name); err != nil {
		return &Result{Err: err}
	}
	entry := s.endpoints[ref.Name]
	if entry == nil || !announcedItself(entry.announced) || ref.Incarnation > entry.announced.GetIncarnation() {
		s.withdrawals.add(ref)
		return &Result{}
	}
	if ref.Incarnation != anyIncarnation && ref.Incarnation != entry.announced.GetIncarnation() {
		return &Result{Err: fault.Newf(fault.Fenced, "no action is needed: a later start of the endpoint has announced itself",
			"incarnation %d of endpoint %s is superseded by incarnation %d", ref.Incarnation, ref.Name, entry.announced.GetIncarnation())}
	}
	next := *entry
	next.announced = proto.Clone(entry.announced).(*fleetv1.Endpoint)
	next.announced.State = max(next.announced.State, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
	next.compose(s.revision + 1)
	s.endpoints[ref.Name] = &next
	s.commit([]objectRef{{endpointKind, ref.Name}})
	return &Result{}
}

// announcedItself reports whether an endpoint was announced without an agent.
func announcedItself(announced *fleetv1.Endpoint) bool {
	return announced.GetAddr() != "" && announced.GetAgent() == announced.GetId()
}
