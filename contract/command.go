package contract

import (
	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// encode returns the deterministic bytes of a command. Marshalling fails only
// for strings that are not UTF-8, which must then be refused, not logged.
func encode(logTime int64, command *contractv1.Command) ([]byte, error) {
	command.LogTimeNs = logTime
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the request cannot be encoded",
			"send only valid UTF-8 text in its fields").Because(err)
	}
	return data, nil
}

// decode reads a command.
func decode(data []byte) (*contractv1.Command, *fault.Error) {
	command := &contractv1.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, fault.New(fault.Corrupt, "a log entry is not a command",
			"check that all replicas run the same version").Because(err)
	}
	return command, nil
}

// EncodePlan states an intent and asks for its plan.
func EncodePlan(logTime int64, intent *controlv1.Intent) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Plan{Plan: intent}})
}

// EncodeConfirm accepts a plan by its digest.
func EncodeConfirm(logTime int64, request *controlv1.ConfirmRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Confirm{Confirm: request}})
}

// EncodeCancel withdraws an intent that is not confirmed.
func EncodeCancel(logTime int64, request *controlv1.CancelRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Cancel{Cancel: request}})
}

// EncodeAnnounce registers an incarnation of an agent and the full list of its
// endpoints. A leader logs it only when it changes something; a renewal of a
// lease stays in the leader's memory.
func EncodeAnnounce(logTime int64, request *controlv1.AnnounceRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Announce{Announce: request}})
}

// EncodeExpire ends the leases of agents that have not renewed. An
// agent that has a newer incarnation by then keeps its lease.
func EncodeExpire(logTime int64, agents ...AgentRef) ([]byte, error) {
	expire := &contractv1.Expire{}
	for _, agent := range agents {
		expire.Agents = append(expire.Agents, agent.message())
	}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Expire{Expire: expire}})
}

// EncodeClaim reserves the single run of a call that is not idempotent.
func EncodeClaim(logTime int64, request *controlv1.ClaimRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Claim{Claim: request}})
}

// EncodeSettle records how a claimed call ended.
func EncodeSettle(logTime int64, request *controlv1.SettleRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Settle{Settle: request}})
}

// EncodeDrained says that leaving endpoints of an agent have finished all
// their work.
func EncodeDrained(logTime int64, agent AgentRef, endpoints ...string) ([]byte, error) {
	drained := &contractv1.Drained{Agent: agent.message(), Endpoints: endpoints}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Drained{Drained: drained}})
}

// EncodeMapBegin starts the switch of a group to a new expert map. epoch is one
// more than the group's present one; fence is the coordinator's token.
func EncodeMapBegin(logTime int64, group string, epoch, fence uint64, expertMap []byte) ([]byte, error) {
	begin := &contractv1.MapBegin{Group: group, Epoch: epoch, Fence: fence, Map: expertMap}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_MapBegin{MapBegin: begin}})
}

// EncodeMapDecide commits or aborts the switch of a group to epoch.
func EncodeMapDecide(logTime int64, group string, epoch, fence uint64, commit bool, activateStep uint64) ([]byte, error) {
	decide := &contractv1.MapDecide{Group: group, Epoch: epoch, Fence: fence, Commit: commit, ActivateStep: activateStep}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_MapDecide{MapDecide: decide}})
}

// EncodeIntentDone marks a confirmed intent as carried out. It is refused while
// the state itself still shows something that the intent waits for.
func EncodeIntentDone(logTime int64, intentID string) ([]byte, error) {
	done := &contractv1.IntentDone{IntentId: intentID}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_IntentDone{IntentDone: done}})
}

// EncodeObserved records what endpoints of an agent were read back to have
// loaded. Only id, model, version, role and adapters of each count.
func EncodeObserved(logTime int64, agent AgentRef, endpoints ...*fleetv1.Endpoint) ([]byte, error) {
	observed := &contractv1.Observed{Agent: agent.message(), Endpoints: endpoints}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Observed{Observed: observed}})
}

// EncodeIssueFence gives out a new fencing token. A leader issues one when it
// begins its term and one for each batch of orders.
func EncodeIssueFence(logTime int64) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_IssueFence{IssueFence: &contractv1.IssueFence{}}})
}
