package contract

import (
	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// encode returns the deterministic encoding of a command. It fails only for strings
// that are not valid UTF-8; such a command must be refused and not logged.
func encode(logTime int64, command *contractv1.Command) ([]byte, error) {
	command.LogTimeNs = logTime
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		return nil, fault.New(fault.Invalid, "the request cannot be encoded",
			"send only valid UTF-8 text in the fields").WithCause(err)
	}
	return data, nil
}

// decode decodes a command.
func decode(data []byte) (*contractv1.Command, *fault.Error) {
	command := &contractv1.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, fault.New(fault.Corrupt, "a log entry cannot be decoded as a command",
			"check that all replicas run the same version").WithCause(err)
	}
	return command, nil
}

// EncodePlan encodes a command that submits an intent and requests its plan.
func EncodePlan(logTime int64, intent *controlv1.Intent) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Plan{Plan: intent}})
}

// EncodeConfirm encodes a command that confirms the plan with the given digest.
func EncodeConfirm(logTime int64, request *controlv1.ConfirmRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Confirm{Confirm: request}})
}

// EncodeCancel encodes a command that cancels an unconfirmed intent.
func EncodeCancel(logTime int64, request *controlv1.CancelRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Cancel{Cancel: request}})
}

// EncodeAnnounce encodes a command that registers an incarnation of an agent with the
// full list of its endpoints. A leader logs it only when it changes the state; lease
// renewals stay in the leader's memory.
func EncodeAnnounce(logTime int64, request *controlv1.AnnounceRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Announce{Announce: request}})
}

// EncodeExpire encodes a command that expires the leases of agents that have not renewed
// them. An agent that has a newer incarnation when it is applied keeps its lease.
func EncodeExpire(logTime int64, agents ...AgentRef) ([]byte, error) {
	expire := &contractv1.Expire{}
	for _, agent := range agents {
		expire.Agents = append(expire.Agents, agent.message())
	}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Expire{Expire: expire}})
}

// EncodeClaim encodes a command that claims the single execution of a call that is not
// idempotent.
func EncodeClaim(logTime int64, request *controlv1.ClaimRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Claim{Claim: request}})
}

// EncodeSettle encodes a command that records the outcome of a claimed call.
func EncodeSettle(logTime int64, request *controlv1.SettleRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Settle{Settle: request}})
}

// EncodeDrained encodes a command that marks leaving endpoints of an agent as drained:
// they have finished all their work.
func EncodeDrained(logTime int64, agent AgentRef, endpoints ...string) ([]byte, error) {
	drained := &contractv1.Drained{Agent: agent.message(), Endpoints: endpoints}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Drained{Drained: drained}})
}

// EncodeMapBegin encodes a command that starts the switch of a group to a new expert
// map. epoch is the group's current epoch plus one; fence is the coordinator's fencing
// token.
func EncodeMapBegin(logTime int64, group string, epoch, fence uint64, expertMap []byte) ([]byte, error) {
	begin := &contractv1.MapBegin{Group: group, Epoch: epoch, Fence: fence, Map: expertMap}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_MapBegin{MapBegin: begin}})
}

// EncodeMapDecide encodes a command that commits or aborts the switch of a group to
// epoch.
func EncodeMapDecide(logTime int64, group string, epoch, fence uint64, commit bool, activateStep uint64) ([]byte, error) {
	decide := &contractv1.MapDecide{Group: group, Epoch: epoch, Fence: fence, Commit: commit, ActivateStep: activateStep}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_MapDecide{MapDecide: decide}})
}

// EncodeIntentDone encodes a command that marks a confirmed intent as done. It is refused
// while the state shows that part of the intent is still pending.
func EncodeIntentDone(logTime int64, intentID string) ([]byte, error) {
	done := &contractv1.IntentDone{IntentId: intentID}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_IntentDone{IntentDone: done}})
}

// EncodeObserved encodes a command that records what a read-back found loaded on
// endpoints of an agent. Only id, model, version, role and adapters of each are used.
func EncodeObserved(logTime int64, agent AgentRef, endpoints ...*fleetv1.Endpoint) ([]byte, error) {
	observed := &contractv1.Observed{Agent: agent.message(), Endpoints: endpoints}
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_Observed{Observed: observed}})
}

// EncodeIssueFence encodes a command that issues a new fencing token. A leader issues one
// at the start of its term and one for each batch of orders.
func EncodeIssueFence(logTime int64) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_IssueFence{IssueFence: &contractv1.IssueFence{}}})
}
