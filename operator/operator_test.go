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

// replica is a control replica over a plain state, whose answers can get lost.
type replica struct {
	controlv1.UnimplementedControlServer
	addr  string
	mu    sync.Mutex
	state *contract.State
	index uint64
	// lose is how many of the next answers get lost after they took effect.
	lose int
	// leader is the address that a follower names; empty for a leader.
	leader string
	asked  int
}

// start serves a replica over state.
func start(t *testing.T, state *contract.State) *replica {
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

// apply applies a command, unless this replica does not lead, and answers,
// unless the answer gets lost.
func (r *replica) apply(data []byte, err error) (*contract.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if r.leader != "" {
		return nil, link.ToStatus(fault.NewNotLeader(1, r.leader))
	}
	if err != nil {
		return nil, link.ToStatus(err)
	}
	r.index++
	result := r.state.Apply(r.index, 1, data).(*contract.Result)
	if r.lose > 0 {
		r.lose--
		return nil, status.Error(codes.Unavailable, "the connection broke")
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

// Operators name one or two replicas; any of the others may lead.
func TestALeaderThatIsNotNamedIsFollowed(t *testing.T) {
	is := is.New(t)
	state := contract.NewState()
	leader, follower := start(t, state), start(t, state)
	follower.leader = leader.addr
	code, out, problems := run(follower.addr, intentText("first", 3, ""), "plan", "-", "-o", "json", "-timeout", briefly)
	is.Equal(code, ExitOK)
	is.True(out != "")
	is.Equal(problems, "")
	is.Equal(leader.asked, 1)
}

// briefly is how long a command tries where it must give up.
const briefly = "500ms"

// run carries out a command line and returns its exit code and outputs.
func run(addrs, stdin string, args ...string) (code int, stdout, stderr string) {
	var out, problems bytes.Buffer
	args = append(args, "-control", addrs, "-operator", "amel")
	code = Run(context.Background(), args, nil, strings.NewReader(stdin), &out, &problems)
	return code, out.String(), problems.String()
}

// digestIn returns the digest in a plan that was printed as JSON.
func digestIn(t *testing.T, text string) string {
	t.Helper()
	var plan struct{ Digest string }
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		t.Fatal(err)
	}
	return plan.Digest
}

func intentText(id string, importance int, more string) string {
	return fmt.Sprintf("intent: %s\nworkspaces:\n- name: ops\n  importance: %d\n%s", id, importance, more)
}

// TestLostAnswersAreAskedForAgain: a follower sends the client on, a replica
// that is down is passed over, and lost answers of plan and confirm are asked
// for again without a second effect.
func TestLostAnswersAreAskedForAgain(t *testing.T) {
	is := is.New(t)
	leader := start(t, contract.NewState())
	follower := start(t, nil)
	follower.leader = leader.addr
	addrs := "127.0.0.1:1," + follower.addr + "," + leader.addr

	leader.lose = 2
	code, out, problems := run(addrs, intentText("first", 3, ""), "plan", "-", "-o", "json")
	is.Equal(problems, "")
	is.Equal(code, ExitOK)
	is.True(follower.asked > 0)
	digest := digestIn(t, out)
	leader.lose = 2
	code, out, _ = run(addrs, "", "confirm", "first", digest)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "revision 1"))
	is.Equal(leader.state.Revision(), uint64(1))

	leader.lose = 1 << 20
	code, _, problems = run(addrs, intentText("second", 4, ""), "plan", "-", "-o", "json", "-timeout", briefly)
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(problems, `"kind":"unknown"`))
}

// TestExitCodes: each kind of end has its code, which scripts rely on.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	leader := start(t, contract.NewState())
	plan := func(text string) int {
		code, _, _ := run(leader.addr, text, "plan", "-f", "-")
		return code
	}
	is.Equal(plan(intentText("a", 3, "")), ExitOK)
	is.Equal(plan(intentText("b", 4, "")), ExitOK)
	is.Equal(plan(intentText("a", 9, "")), ExitConflict)
	is.Equal(plan(intentText("c", 0, "")), ExitInvalid)
	confirm := func(id string) (int, string) {
		code, _, problems := run(leader.addr, "", "confirm", "-id", id, "-digest", leader.state.Intent(id).GetPlan().GetDigest())
		return code, problems
	}
	code, _ := confirm("a")
	is.Equal(code, ExitOK)
	code, problems := confirm("b")
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(problems, "intent a of operator amel"))

	code, _, _ = run(leader.addr, "", "explain", "none")
	is.Equal(code, ExitInvalid)
	code, _, _ = run("127.0.0.1:1", "", "status", "-timeout", briefly)
	is.Equal(code, ExitUnavailable)
	code, _, _ = run("127.0.0.1:1", intentText("d", 1, ""), "plan", "-", "-timeout", briefly)
	is.Equal(code, ExitUnavailable)
	for _, wrong := range [][]string{{"confirm", "only-id"}, {"plan", "a", "b"}, {"reboot"}, {"status", "-colour"}, {"members", "-promote", "1", "-remove", "2"}} {
		code, _, _ = run(leader.addr, "", wrong...)
		is.Equal(code, ExitUsage)
	}
}

// TestPeopleCanFollowAnIntent: the plan shows its digest and the command that
// accepts it; diff states nothing; explain and history show what became of it;
// watch ends when it is carried out.
func TestPeopleCanFollowAnIntent(t *testing.T) {
	is := is.New(t)
	leader := start(t, contract.NewState())
	leader.apply(contract.EncodeAnnounce(0, &controlv1.AnnounceRequest{Agent: "a", Incarnation: 1, Endpoints: []*fleetv1.Endpoint{{Id: "e1", Pool: "p"}}}))
	text := intentText("first", 3, "endpoints:\n- id: e1\n  state: leaving\n  drain_limit: 30s\n")
	_, out, _ := run(leader.addr, text, "diff", "-")
	is.True(strings.Contains(out, "+  workspace ops: importance 3"))
	is.Equal(leader.state.Intent("first"), nil)
	_, out, _ = run(leader.addr, text, "plan", "-")
	digest := leader.state.Intent("first").GetPlan().GetDigest()
	for _, part := range []string{"leaves", "within 30s", "Warning: no endpoint of pool p", "lilackeelctl confirm first " + digest} {
		is.True(strings.Contains(out, part))
	}
	code, _, _ := run(leader.addr, text, "plan", "-", "-yes")
	is.Equal(code, ExitConflict) // it has warnings
	run(leader.addr, "", "confirm", "first", digest)
	_, out, _ = run(leader.addr, "", "explain", "first")
	is.True(strings.Contains(out, "waits for endpoint e1 to finish its work"))
	_, out, _ = run(leader.addr, "", "history")
	is.True(strings.Contains(out, "confirmed"))
	_, out, _ = run(leader.addr, "", "config")
	is.True(strings.Contains(out, "leaving"))
	_, out, _ = run(leader.addr, "intent: back\nendpoints:\n- id: e1\n  state: serving\n", "diff", "-")
	is.True(strings.Contains(out, "joins"))
	is.True(strings.Contains(out, "0 before, 1 after"))
	leader.apply(contract.EncodeDrained(0, contract.AgentRef{Name: "a", Incarnation: 1}, "e1"))
	leader.apply(contract.EncodeIntentDone(0, "first"))
	code, out, _ = run(leader.addr, "", "watch", "first")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "is done"))
}

// TestLargeConfigurationsAreRead: the configuration of 50,000 workspaces is
// larger than what gRPC takes by default.
func TestLargeConfigurationsAreRead(t *testing.T) {
	is := is.New(t)
	leader := start(t, contract.NewState())
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
	code, out, _ := run(leader.addr, "", "config")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "workspace-49999"))
}

// TestIntentFilesAreStrict: a slip in a file is refused with its line and what
// to write instead; the examples are accepted.
func TestIntentFilesAreStrict(t *testing.T) {
	is := is.New(t)
	wrong := map[string]string{
		intentText("a", 1, "  importanse: 2\n"):                      "line 5: unknown field importanse",
		intentText("a", 1, "  importance: 2\n"):                      "line 5",
		intentText("a", 1, "  max_queue: many\n"):                    "line 5",
		intentText("a", 1, "endpoints:\n- id: e1\n  state: asleep"):  "write serving, leaving or stopped",
		intentText("a", 1, "endpoints:\n- id: e1\n  drain_limit: 5"): "30s",
		"workspaces: []": "no id",
		"intent: [":      "line",
	}
	for text, part := range wrong {
		_, err := ParseIntent([]byte(text), "amel")
		is.True(fault.Is(err, fault.Invalid))
		is.True(strings.Contains(err.Error(), part))
		is.True(fault.As(err).Remedy != "")
	}
	_, err := ParseIntent([]byte(intentText("a", 1, "  importanse: 2\n")), "amel")
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

// FuzzIntentFile: no file makes the reader panic, and what is read can be sent.
func FuzzIntentFile(f *testing.F) {
	f.Add([]byte(intentText("a", 1, "  importanse: 2\n")))
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
