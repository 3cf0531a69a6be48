package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/standin/caller"
)

// site is a small deployment on loopback: three control replicas, two agents,
// two entries and their stand-in endpoints.
type site struct {
	control, controlAdmin  []string
	entries, entryAdmin    []string
	engines, services      []string
	controls               []*process
	standins               []*process
	agents                 []*process
	fronts                 []*process
	agentAddrs, agentAdmin []string
	relays                 []string
	data                   []string
	// Where links between daemons can be cut, these are the forwarders in front
	// of the replicas (as their peers see them), of the agents, and of the
	// replicas as one daemon sees them.
	peers, advertised []string
	controlOf         map[string][]string
	// serviceTime is how long a call of a stand-in service takes.
	serviceTime time.Duration
}

const (
	hosts    = 2
	replicas = 3
	// tokenTime paces the stand-in engines, so that streams last a while.
	tokenTime = 20 * time.Millisecond
	demoKey   = "e2e-key"
	// demoKeyDigest is the SHA-256 of demoKey.
	demoKeyDigest = "a781b3e13d2b80957d1b925804148f666cc87adb35c1481686a9687f27f8d8a0"
)

// newSite starts all processes and waits until the intent is in force.
func newSite(t *testing.T) *site {
	t.Helper()
	s := allocate(t, replicas)
	s.startAll(t)
	return s
}

// allocate returns a site of which nothing runs yet.
func allocate(t *testing.T, replicas int) *site {
	t.Helper()
	return &site{
		control: ports(t, replicas), controlAdmin: ports(t, replicas),
		entries: ports(t, hosts), entryAdmin: ports(t, hosts),
		engines: ports(t, hosts), services: ports(t, hosts),
		agentAddrs: ports(t, hosts), agentAdmin: ports(t, hosts), relays: ports(t, hosts),
		controlOf: map[string][]string{}, serviceTime: 2 * time.Millisecond,
	}
}

func (s *site) startAll(t *testing.T) {
	t.Helper()
	for i := range hosts {
		s.standins = append(s.standins, start(t, fmt.Sprintf("standin-%d", i), "standin-endpoint", "-engine-listen", s.engines[i],
			"-service-listen", s.services[i], "-model", "draft", "-token-time", tokenTime.String(), "-slots", "512",
			"-service-time", s.serviceTime.String()))
	}
	s.startControl(t)
	for i := range hosts {
		s.agents = append(s.agents, start(t, fmt.Sprintf("agent-%d", i), "lilackeel-agent", s.agentArgs(t, i)...))
	}
	s.accept(t, firstIntent())
	for i := range hosts {
		s.fronts = append(s.fronts, start(t, fmt.Sprintf("entry-%d", i), "lilackeel-entry",
			"-name", fmt.Sprintf("entry-%d", i), "-zone", "a", "-listen", s.entries[i],
			"-feed", s.controlFor(fmt.Sprintf("entry-%d", i)), "-control", s.controlFor(fmt.Sprintf("entry-%d", i)),
			"-admin-listen", s.entryAdmin[i], "-relay-listen", s.relays[i], "-drain-delay", "300ms"))
	}
	s.awaitServing(t)
}

// controlFor returns the addresses by which a daemon reaches the replicas.
func (s *site) controlFor(daemon string) string {
	if via, ok := s.controlOf[daemon]; ok {
		return strings.Join(via, ",")
	}
	return strings.Join(s.control, ",")
}

func (s *site) startControl(t *testing.T, more ...string) {
	t.Helper()
	var peers []string
	seen := s.control
	if s.peers != nil {
		seen = s.peers
	}
	for i, addr := range seen {
		peers = append(peers, fmt.Sprintf("%d=%s", i+1, addr))
	}
	for i, addr := range s.control {
		s.data = append(s.data, filepath.Join(t.TempDir(), "data"))
		args := append([]string{"-id", fmt.Sprint(i + 1), "-zone", "a", "-listen", addr, "-peers", strings.Join(peers, ","),
			"-data-dir", s.data[i], "-admin-listen", s.controlAdmin[i]}, more...)
		s.controls = append(s.controls, start(t, fmt.Sprintf("control-%d", i+1), "lilackeel-control", args...))
	}
}

func (s *site) agentArgs(t *testing.T, i int) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "endpoints.yaml")
	text := fmt.Sprintf(`endpoints:
- {id: engine-%d, pool: drafting, kind: engine, url: "http://%s", model: draft, version: "1", slots: 512}
- {id: desk-%d, pool: desk, kind: service, url: "http://%s", slots: 64}
`, i, s.engines[i], i, s.services[i])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	advertised := s.agentAddrs[i]
	if s.advertised != nil {
		advertised = s.advertised[i]
	}
	control := s.controlFor(fmt.Sprintf("agent-%d", i))
	args := []string{"-name", fmt.Sprintf("agent-%d", i), "-zone", "a", "-listen", s.agentAddrs[i], "-advertise", advertised,
		"-control", control, "-endpoints", file, "-admin-listen", s.agentAdmin[i]}
	if i == 0 {
		return args
	}
	// The other agents are fed by the relay of the first entry.
	return append(args, "-feed", s.relays[0]+","+control)
}

// swapsPath takes calls that are not idempotent, and lists them.
const swapsPath = "/desk/swaps"

// notesPath takes idempotent calls, which are dispatched without a claim, and
// lists them.
const notesPath = "/desk/notes"

// firstIntent is the configuration that the tests start from.
func firstIntent() *controlv1.Intent {
	return &controlv1.Intent{
		Id:         "first",
		Operator:   "e2e",
		Workspaces: []*fleetv1.Workspace{{Name: "crew", Importance: 10, KeyDigests: []string{demoKeyDigest}}},
		Models:     []*fleetv1.Model{{Name: "draft", Pool: "drafting", Version: "1"}},
		Services: []*fleetv1.Service{{Name: "desk", Pool: "desk", PathPrefix: "/desk", Routes: []*fleetv1.ServiceRoute{
			{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
			{Method: http.MethodPut, PathPrefix: notesPath, Idempotent: true},
		}}},
	}
}

// leave is the intent that an endpoint leaves.
func leave(id, endpoint string) *controlv1.Intent {
	return &controlv1.Intent{Id: id, Operator: "e2e", Endpoints: []*controlv1.EndpointChange{
		{Id: endpoint, State: fleetv1.EndpointState_ENDPOINT_STATE_LEAVING},
	}}
}

// accept plans and confirms an intent and returns its revision. It asks again
// with the same id until a replica answers, as an operator does who has lost an
// answer.
func (s *site) accept(t *testing.T, intent *controlv1.Intent) uint64 {
	t.Helper()
	var digest string
	s.ask(t, "plan "+intent.GetId(), func(ctx context.Context, c controlv1.ControlClient) error {
		planned, err := c.Plan(ctx, &controlv1.PlanRequest{Intent: intent})
		digest = planned.GetPlan().GetDigest()
		return err
	})
	var revision uint64
	s.ask(t, "confirm "+intent.GetId(), func(ctx context.Context, c controlv1.ControlClient) error {
		confirmed, err := c.Confirm(ctx, &controlv1.ConfirmRequest{IntentId: intent.GetId(), Digest: digest, Operator: "e2e"})
		revision = confirmed.GetRevision()
		return err
	})
	return revision
}

// ask calls the control replicas in turn until one answers.
func (s *site) ask(t *testing.T, what string, call func(context.Context, controlv1.ControlClient) error) {
	t.Helper()
	next := 0
	eventually(t, what, func() error {
		addr := s.control[next%len(s.control)]
		next++
		connection, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		defer func() { _ = connection.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return call(ctx, controlv1.NewControlClient(connection))
	})
}

// caller returns a caller of all entries.
func (s *site) caller() *caller.Caller {
	return &caller.Caller{Entries: s.entries, Key: demoKey, Model: "draft", Client: &http.Client{}}
}

// awaitServing waits until every entry answers a model call and a service call.
func (s *site) awaitServing(t *testing.T) {
	t.Helper()
	c := s.caller()
	for i := range s.entries {
		eventually(t, "first answers", func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := c.Chat(ctx, i, "hello", 2)
			if err != nil || !result.Complete {
				return fmt.Errorf("chat: %v, status %d: %s", err, result.Status, result.Body)
			}
			result, err = c.Call(ctx, i, http.MethodGet, swapsPath, nil, "")
			if err != nil || !result.Complete {
				return fmt.Errorf("list: %v, status %d: %s", err, result.Status, result.Body)
			}
			return nil
		})
	}
}

// runs returns how often the call with this body ran at all stand-in services.
func (s *site) runs(t *testing.T, body string) int {
	t.Helper()
	total := 0
	for i := range s.services {
		total += bytes.Count(s.list(t, i, swapsPath), []byte(`"`+body+`"`))
	}
	return total
}

// list returns the effects of a path at stand-in service i as JSON.
func (s *site) list(t *testing.T, i int, path string) []byte {
	t.Helper()
	response, err := http.Get("http://" + s.services[i] + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// daemonActsOn returns nil once a daemon has acknowledged a revision.
func (s *site) daemonActsOn(t *testing.T, name string, revision uint64) error {
	t.Helper()
	var status *controlv1.StatusResponse
	s.ask(t, "status", func(ctx context.Context, c controlv1.ControlClient) error {
		var err error
		status, err = c.Status(ctx, &controlv1.StatusRequest{})
		return err
	})
	for _, d := range status.GetDaemons() {
		if d.GetName() == name && d.GetRevision() >= revision {
			return nil
		}
	}
	return fmt.Errorf("%s has not acknowledged revision %d: %v", name, revision, status.GetDaemons())
}

// metric reads one metric of a daemon.
func (s *site) metric(t *testing.T, admin, name string) string {
	t.Helper()
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return value
		}
	}
	return ""
}
