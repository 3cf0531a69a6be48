package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
)

// replica is a control replica over an unreplicated state that can drop responses.
type replica struct {
	controlv1.UnimplementedControlServer
	addr  string
	mu    sync.Mutex
	state *contract.State
	index uint64
	// dropResponses is how many of the next responses are lost after the request
	// took effect.
	dropResponses int
	// leader is the leader address that a follower returns; empty for a leader.
	leader   string
	requests int
}

// startReplica serves a replica over state until the test ends.
func startReplica(t *testing.T, state *contract.State) *replica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{addr: listener.Addr().String(), state: state}
	server := grpc.NewServer()
	controlv1.RegisterControlServer(server, r)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return r
}

// apply applies a command and returns its result. It fails if this replica is a
// follower or the response is to be dropped.
func (r *replica) apply(data []byte, err error) (*contract.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if r.leader != "" {
		return nil, link.ToStatus(fault.NewNotLeader(1, r.leader))
	}
	if err != nil {
		return nil, link.ToStatus(err)
	}
	r.index++
	result := r.state.Apply(r.index, 1, data).(*contract.Result)
	if r.dropResponses > 0 {
		r.dropResponses--
		return nil, status.Error(codes.Unavailable, "connection lost")
	}
	if result.Err != nil {
		return nil, link.ToStatus(result.Err)
	}
	return result, nil
}

func (r *replica) Plan(_ context.Context, request *controlv1.PlanRequest) (*controlv1.PlanResponse, error) {
	result, err := r.apply(contract.EncodePlan(0, request.GetIntent()))
	if err != nil {
		return nil, err
	}
	return &controlv1.PlanResponse{Plan: result.Plan}, nil
}

func (r *replica) Confirm(_ context.Context, request *controlv1.ConfirmRequest) (*controlv1.ConfirmResponse, error) {
	result, err := r.apply(contract.EncodeConfirm(0, request))
	if err != nil {
		return nil, err
	}
	return &controlv1.ConfirmResponse{Revision: result.Revision}, nil
}

func (r *replica) History(_ context.Context, request *controlv1.HistoryRequest) (*controlv1.HistoryResponse, error) {
	return &controlv1.HistoryResponse{Entries: r.state.History(int(request.GetLimit()), request.GetIntentId())}, nil
}

func (r *replica) Status(context.Context, *controlv1.StatusRequest) (*controlv1.StatusResponse, error) {
	return &controlv1.StatusResponse{Revision: r.state.Revision(), Intents: r.state.Progress()}, nil
}

func (r *replica) GetConfiguration(context.Context, *controlv1.GetConfigurationRequest) (*controlv1.GetConfigurationResponse, error) {
	return &controlv1.GetConfigurationResponse{Configuration: r.state.Configuration()}, nil
}

// TestClientFollowsLeaderOutsideConfiguredAddresses: operators configure one or two
// replicas, and any other replica may be the leader.
func TestClientFollowsLeaderOutsideConfiguredAddresses(t *testing.T) {
	is := is.New(t)
	state := contract.NewState()
	leader, follower := startReplica(t, state), startReplica(t, state)
	follower.leader = leader.addr
	code, out, errOut := runCommand(follower.addr, intentYAML("first", 3, ""), "plan", "-", "-o", "json", "-timeout", shortTimeout)
	is.Equal(code, ExitOK)
	is.True(out != "")
	is.Equal(errOut, "")
	is.Equal(leader.requests, 1)
}

// shortTimeout is the time limit of commands that are expected to fail.
const shortTimeout = "500ms"

// runCommand executes a command line and returns its exit code and outputs.
func runCommand(addrs, stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	args = append(args, "-control", addrs, "-operator", "amel")
	code = Run(context.Background(), args, nil, strings.NewReader(stdin), &out, &errOut)
	return code, out.String(), errOut.String()
}

// planDigest returns the digest of a plan that was printed as JSON.
func planDigest(t *testing.T, text string) string {
	t.Helper()
	var plan struct{ Digest string }
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		t.Fatal(err)
	}
	return plan.Digest
}

func intentYAML(id string, importance int, extra string) string {
	return fmt.Sprintf("intent: %s\nworkspaces:\n- name: ops\n  importance: %d\n%s", id, importance, extra)
}

// TestLostResponsesAreRetried: the client follows a follower's hint to the leader,
// skips a replica that is down, and retries plan and confirm after lost responses
// without a second effect.
func TestLostResponsesAreRetried(t *testing.T) {
	is := is.New(t)
	leader := startReplica(t, contract.NewState())
	follower := startReplica(t, nil)
	follower.leader = leader.addr
	addrs := "127.0.0.1:1," + follower.addr + "," + leader.addr

	leader.dropResponses = 2
	code, out, errOut := runCommand(addrs, intentYAML("first", 3, ""), "plan", "-", "-o", "json")
	is.Equal(errOut, "")
	is.Equal(code, ExitOK)
	is.True(follower.requests > 0)
	digest := planDigest(t, out)
	leader.dropResponses = 2
	code, out, _ = runCommand(addrs, "", "confirm", "first", digest)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "revision 1"))
	is.Equal(leader.state.Revision(), uint64(1))

	leader.dropResponses = 1 << 20
	code, _, errOut = runCommand(addrs, intentYAML("second", 4, ""), "plan", "-", "-o", "json", "-timeout", shortTimeout)
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, `"kind":"unknown"`))
}

// TestExitCodes checks the exit code of each kind of result, which scripts rely on.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	leader := startReplica(t, contract.NewState())
	plan := func(text string) int {
		code, _, _ := runCommand(leader.addr, text, "plan", "-f", "-")
		return code
	}
	is.Equal(plan(intentYAML("a", 3, "")), ExitOK)
	is.Equal(plan(intentYAML("b", 4, "")), ExitOK)
	is.Equal(plan(intentYAML("a", 9, "")), ExitConflict)
	is.Equal(plan(intentYAML("c", 0, "")), ExitInvalid)
	confirm := func(id string) (int, string) {
		code, _, errOut := runCommand(leader.addr, "", "confirm", "-id", id, "-digest", leader.state.Intent(id).GetPlan().GetDigest())
		return code, errOut
	}
	code, _ := confirm("a")
	is.Equal(code, ExitOK)
	code, errOut := confirm("b")
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(errOut, "intent a of operator amel"))

	code, _, _ = runCommand(leader.addr, "", "explain", "none")
	is.Equal(code, ExitInvalid)
	code, _, _ = runCommand("127.0.0.1:1", "", "status", "-timeout", shortTimeout)
	is.Equal(code, ExitUnavailable)
	code, _, _ = runCommand("127.0.0.1:1", intentYAML("d", 1, ""), "plan", "-", "-timeout", shortTimeout)
	is.Equal(code, ExitUnavailable)
	for _, invalid := range [][]string{{"confirm", "only-id"}, {"plan", "a", "b"}, {"reboot"}, {"status", "-colour"}, {"members", "-promote", "1", "-remove", "2"}} {
		code, _, _ = runCommand(leader.addr, "", invalid...)
		is.Equal(code, ExitUsage)
	}
}

// TestIntentLifecycle: plan shows the digest and the command that accepts the plan;
// diff does not submit the intent; explain and history show its progress; watch ends
// when it is done.
func TestIntentLifecycle(t *testing.T) {
	is := is.New(t)
	leader := startReplica(t, contract.NewState())
	leader.apply(contract.EncodeAnnounce(0, &controlv1.AnnounceRequest{Agent: "a", Incarnation: 1, Endpoints: []*fleetv1.Endpoint{{Id: "e1", Pool: "p"}}}))
	text := intentYAML("first", 3, "endpoints:\n- id: e1\n  state: leaving\n  drain_limit: 30s\n")
	_, out, _ := runCommand(leader.addr, text, "diff", "-")
	is.True(strings.Contains(out, "+  workspace ops: importance 3"))
	is.Equal(leader.state.Intent("first"), nil)
	_, out, _ = runCommand(leader.addr, text, "plan", "-")
	digest := leader.state.Intent("first").GetPlan().GetDigest()
	for _, part := range []string{"leaves", "within 30s", "Warning: no endpoint of pool p", "lilackeelctl confirm first " + digest} {
		is.True(strings.Contains(out, part))
	}
	code, _, _ := runCommand(leader.addr, text, "plan", "-", "-yes")
	is.Equal(code, ExitConflict) // it has warnings
	runCommand(leader.addr, "", "confirm", "first", digest)
	_, out, _ = runCommand(leader.addr, "", "explain", "first")
	is.True(strings.Contains(out, "waits for endpoint e1 to finish its work"))
	_, out, _ = runCommand(leader.addr, "", "history")
	is.True(strings.Contains(out, "confirmed"))
	_, out, _ = runCommand(leader.addr, "", "config")
	is.True(strings.Contains(out, "leaving"))
	_, out, _ = runCommand(leader.addr, "intent: back\nendpoints:\n- id: e1\n  state: serving\n", "diff", "-")
	is.True(strings.Contains(out, "joins"))
	is.True(strings.Contains(out, "0 before, 1 after"))
	leader.apply(contract.EncodeDrained(0, contract.AgentRef{Name: "a", Incarnation: 1}, "e1"))
	leader.apply(contract.EncodeIntentDone(0, "first"))
	code, out, _ = runCommand(leader.addr, "", "watch", "first")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "is done"))
}

// TestConfigReadsLargeConfiguration: the configuration of 50,000 workspaces exceeds
// the default message size limit of gRPC.
func TestConfigReadsLargeConfiguration(t *testing.T) {
	is := is.New(t)
	leader := startReplica(t, contract.NewState())
	intent := &controlv1.Intent{Id: "many", Operator: "amel"}
	for i := range 50_000 {
		intent.Workspaces = append(intent.Workspaces, &fleetv1.Workspace{
			Name: fmt.Sprintf("workspace-%05d", i), Importance: 1, KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	planned, err := leader.apply(contract.EncodePlan(0, intent))
	is.NoErr(err)
	_, err = leader.apply(contract.EncodeConfirm(0, &controlv1.ConfirmRequest{IntentId: "many", Operator: "amel", Digest: planned.Plan.GetDigest()}))
	is.NoErr(err)
	code, out, _ := runCommand(leader.addr, "", "config")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "workspace-49999"))
}

// TestInvalidIntentFilesAreRejected: an error names the line and the remedy; the
// example files are accepted.
func TestInvalidIntentFilesAreRejected(t *testing.T) {
	is := is.New(t)
	invalid := map[string]string{
		intentYAML("a", 1, "  importanse: 2\n"):                      "line 5: unknown field importanse",
		intentYAML("a", 1, "  importance: 2\n"):                      "line 5",
		intentYAML("a", 1, "  max_queue: many\n"):                    "line 5",
		intentYAML("a", 1, "endpoints:\n- id: e1\n  state: asleep"):  "write serving, leaving or stopped",
		intentYAML("a", 1, "endpoints:\n- id: e1\n  drain_limit: 5"): "30s",
		"workspaces: []": "no id",
		"intent: [":      "line",
	}
	for text, part := range invalid {
		_, err := ParseIntent([]byte(text), "amel")
		is.True(fault.Is(err, fault.Invalid))
		is.True(strings.Contains(err.Error(), part))
		is.True(fault.As(err).Remedy != "")
	}
	_, err := ParseIntent([]byte(intentYAML("a", 1, "  importanse: 2\n")), "amel")
	is.True(strings.Contains(fault.As(err).Remedy, "max_concurrent"))

	files, err := filepath.Glob("../examples/*/intent.yaml")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		intent, err := ParseIntent(data, "")
		is.NoErr(err)
		plan, err := contract.Preview(&fleetv1.Configuration{}, intent)
		is.NoErr(err)
		is.Equal(len(plan.GetChanges()), 13)
	}
}

// FuzzIntentFile: no input makes the parser panic, and every parsed intent can be
// encoded or is rejected as invalid.
func FuzzIntentFile(f *testing.F) {
	f.Add([]byte(intentYAML("a", 1, "  importanse: 2\n")))
	f.Add([]byte(`{"intent":"a","endpoints":[{"id":"e1","state":"leaving","drain_limit":"3s"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		intent, err := ParseIntent(data, "amel")
		if err != nil {
			return
		}
		if _, err := contract.EncodePlan(0, intent); err != nil && !fault.Is(err, fault.Invalid) {
			t.Fatal(err)
		}
	})
}
