package workspace_test

import (
	"fmt"
	"time"

	"github.com/lilackeel/lilackeel/workspace"
)

// Two workspaces share one slot. The second request is queued until the first has ended,
// and then starts by a Grant.
func Example() {
	admission := workspace.NewAdmission(workspace.Config{})
	admission.SetCapacity(0, 1)
	admission.Configure(0, map[string]workspace.Limits{
		"search": {Importance: 2, GuaranteedShare: 0.5},
		"batch":  {Importance: 1},
	})

	first, err := admission.Arrive(0, workspace.Request{ID: "a", Workspace: "batch"})
	fmt.Println(first == workspace.Admitted, err)
	second, err := admission.Arrive(0, workspace.Request{ID: "b", Workspace: "search"})
	fmt.Println(second == workspace.Queued, err)

	for _, grant := range admission.Done(200*time.Millisecond, "a") {
		fmt.Println(grant.ID, grant.Workspace, grant.Waited)
	}

	// Output:
	// true <nil>
	// true <nil>
	// b search 200ms
}
