package operator

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// TestWritePlanOfAcceptedIntent: an operator who requests a plan again after the
// response to the confirmation was lost must not be told that nothing has happened.
func TestWritePlanOfAcceptedIntent(t *testing.T) {
	is := is.New(t)
	var fresh, accepted strings.Builder
	writePlan(&fresh, &controlv1.Plan{IntentId: "one"}, 0)
	writePlan(&accepted, &controlv1.Plan{IntentId: "one"}, 7)
	is.True(strings.Contains(fresh.String(), "Nothing has happened yet"))
	is.True(strings.Contains(accepted.String(), "accepted before, as revision 7"))
	is.True(!strings.Contains(accepted.String(), "Nothing has happened yet"))
}
