package contract_test

import (
	"fmt"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
)

// An operator changes the configuration with two log commands: a plan, which changes
// nothing yet, and a confirmation that has the plan's digest.
func ExampleState_Apply() {
	state := contract.NewState()
	apply := func(data []byte, err error) *contract.Result {
		if err != nil {
			panic(err) // the command cannot be encoded
		}
		index, term := state.Applied()
		result := state.Apply(index+1, max(term, 1), data).(*contract.Result)
		if result.Err != nil {
			fmt.Println("refused:", result.Err)
		}
		return result
	}

	planned := apply(contract.EncodePlan(state.LogTime(), &controlv1.Intent{
		Id:         "add-team-a",
		Operator:   "ada",
		Workspaces: []*fleetv1.Workspace{{Name: "team-a", Importance: 1}},
	}))
	for _, change := range planned.Plan.GetChanges() {
		fmt.Println(change.GetText())
	}
	fmt.Println("revision after the plan:", state.Revision())

	confirmed := apply(contract.EncodeConfirm(state.LogTime(), &controlv1.ConfirmRequest{
		IntentId: planned.Plan.GetIntentId(),
		Digest:   planned.Plan.GetDigest(),
		Operator: "ada",
	}))
	fmt.Println("revision after the confirmation:", confirmed.Revision)
	// Output:
	// workspace team-a: importance 1, models all
	// revision after the plan: 0
	// revision after the confirmation: 1
}
