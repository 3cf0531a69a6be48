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

// crashingEngines are engines behind agents that crash when they run a body that contains
// crashingBody, and restart as a new incarnation.
type crashingEngines struct {
	fakes
	crashes int
}

const (
	crashingBody = "crashes its engine"
	// failingBody is the body of a request that is answered with an error status.
	failingBody = "fails"
)

func newCrashingEngines() *crashingEngines {
	m := &crashingEngines{}
	m.agent = func(_ context.Context, d *agentv1.DispatchRequest, send func(*agentv1.DispatchResponse)) error {
		if strings.Contains(string(d.GetBody()), failingBody) {
			head := headOf("text/plain", "")
			head.GetHead().Status = http.StatusInternalServerError
			send(head)
			send(endOf(0))
			return io.EOF
		}
		if !strings.Contains(string(d.GetBody()), crashingBody) {
			send(headOf("text/plain", ""))
			send(chunkOf(0, "done"))
			send(endOf(4))
			return io.EOF
		}
		m.crashes++
		run := "agent/e/" + strconv.Itoa(m.crashes)
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

// Guards against a request being sent to one engine after another although it has crashed each of
// them.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	chat := func(content string) string {
		return `{"model":"draft","messages":[{"role":"user","content":"` + content + `"}]}`
	}
	for path, body := range map[string]func(string) string{
		chatPath: chat, "/roster/swap": func(content string) string { return content },
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newCrashingEngines()
				s := m.server()
				for range 10 {
					sendPost(s, t.Context(), path, body(crashingBody))
					other, _ := sendPost(s, t.Context(), path, body("another"))
					is.Equal(other.Code, http.StatusOK) // other requests are still served
				}
				is.Equal(m.crashes, 3) // three crashes suffice
				refused, took := sendPost(s, t.Context(), path, body(crashingBody))
				is.Equal(refused.Code, http.StatusServiceUnavailable)
				is.Equal(refused.Header().Get(call.HeaderOutcome), "not-run")
				is.True(refused.Header().Get("Retry-After") != "") // quarantine is temporary, in case it is mistaken
				is.Equal(took, time.Duration(0))                   // refused immediately
			})
		})
	}
}

// Guards against further attempts of a running request after it has crashed three engines: the
// quarantine is checked before each attempt.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newCrashingEngines()
		s := m.server()
		s.policy.MaxAttempts = 6
		refused, _ := sendPost(s, t.Context(), chatPath, `{"model":"draft","messages":[{"role":"user","content":"`+crashingBody+`"}]}`)
		is.Equal(m.crashes, 3)
		is.Equal(refused.Header().Get(call.HeaderOutcome), "unknown") // it may have run
	})
}

// Guards against chats that crash engine after engine although no two are alike: one message that
// they have in common is the cause, and sound chats share their other messages.
func TestCrashingMessageIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newCrashingEngines()
		s := m.server()
		chat := func(messages ...string) string {
			var body strings.Builder
			for i, content := range messages {
				if i > 0 {
					body.WriteString(",")
				}
				body.WriteString(`{"role":"user","content":"` + content + `"}`)
			}
			return `{"model":"draft","messages":[` + body.String() + `]}`
		}
		for i := range 10 {
			sound, _ := sendPost(s, t.Context(), chatPath, chat("shared", "another "+strconv.Itoa(i)))
			is.Equal(sound.Code, http.StatusOK)
			sendPost(s, t.Context(), chatPath, chat("shared", crashingBody, failingBody)) // an error status proves nothing
			sendPost(s, t.Context(), chatPath, chat("shared", crashingBody, "own "+strconv.Itoa(i)))
			time.Sleep(4 * time.Second)
		}
		is.Equal(m.crashes, 3)
		refused, _ := sendPost(s, t.Context(), chatPath, chat(crashingBody, "own"))
		is.Equal(refused.Code, http.StatusServiceUnavailable)
		is.Equal(refused.Header().Get(call.HeaderOutcome), "not-run")
	})
}
