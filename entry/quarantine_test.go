package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
)

// mortals are engines behind agents, each of which ends as it begins to run a body with the
// mark ending, and is back as a new run.
type mortals struct {
	fakes
	ended int
}

const ending = "ends what runs it"

func newMortals() *mortals {
	m := &mortals{}
	m.agent = func(_ context.Context, d *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
		if !strings.Contains(string(d.GetBody()), ending) {
			send(headOf("text/plain", ""))
			send(chunkOf(0, "done"))
			send(endOf(4))
			return io.EOF
		}
		m.ended++
		run := "agent/e/" + strconv.Itoa(m.ended)
		send(&agentv1.DispatchResponse{Kind: &agentv1.DispatchResponse_Broken{Broken: &agentv1.Broken{MayHaveRun: true, Message: "cut", EndedRun: run}}})
		return io.EOF
	}
	m.claim = func(r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
		return &controlv1.ClaimResponse{Granted: true, Claim: &controlv1.Claim{ClaimId: r.GetClaimId(), State: controlv1.ClaimState_CLAIM_STATE_GRANTED}}, nil
	}
	m.revoke = func() (*agentv1.RevokeResponse, error) {
		return &agentv1.RevokeResponse{State: agentv1.RevokeState_REVOKE_STATE_UNKNOWN}, nil
	}
	return m
}

// Guards against a request that is sent to engine after engine although those that ran it ended.
func TestARequestThatEndsItsEnginesIsKeptFromThem(t *testing.T) {
	chat := func(content string) string {
		return `{"model":"draft","messages":[{"role":"user","content":"` + content + `"}]}`
	}
	for path, body := range map[string]func(string) string{
		chatPath: chat, "/roster/swap": func(content string) string { return content },
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newMortals()
				s := m.server()
				for range 10 {
					ask(s, t.Context(), path, body(ending))
					good, _ := ask(s, t.Context(), path, body("another"))
					is.Equal(good.Code, http.StatusOK) // others are served all the while
				}
				is.Equal(m.ended, 3) // three ends are proof
				refused, took := ask(s, t.Context(), path, body(ending))
				is.Equal(refused.Code, http.StatusServiceUnavailable)
				is.Equal(refused.Header().Get(call.HeaderOutcome), "not-run")
				is.True(refused.Header().Get("Retry-After") != "") // a mistaken suspicion ends
				is.Equal(took, time.Duration(0))                   // said at once
			})
		})
	}
}

// Guards against a request that is sent on within its own attempts after three engines have
// ended under it: the check before each further attempt.
func TestAHeldRequestGetsNoFurtherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMortals()
		s := m.server()
		s.policy.MaxAttempts = 6
		refused, _ := ask(s, t.Context(), chatPath, `{"model":"draft","messages":[{"role":"user","content":"`+ending+`"}]}`)
		is.Equal(m.ended, 3)
		is.Equal(refused.Header().Get(call.HeaderOutcome), "unknown") // it has run
	})
}
