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

// site is a small deployment on loopback: three control replicas, two agents, two entries and
// their stand-in endpoints.
type site struct {
	controlAddrs, controlAdminAddrs []string
	entryAddrs, entryAdminAddrs     []string
	engineAddrs, serviceAddrs       []string
	controlProcs                    []*process
	standinProcs                    []*process
	agentProcs                      []*process
	entryProcs                      []*process
	agentAddrs, agentAdminAddrs     []string
	relayAddrs                      []string
	dataDirs                        []string
	// In tests that partition daemons, these are the addresses of the forwarders in front of
	// the replicas (for their peers), of the agents, and of the replicas (for each daemon).
	peerAddrs, advertisedAddrs []string
	controlAddrsFor            map[string][]string
	// serviceTime is how long a call of a stand-in service takes.
	serviceTime time.Duration
	// entryArgs are further arguments of the entries, agentFiles the number of descriptors of an agent; zero is
	// no limit.
	entryArgs  []string
	agentFiles int
}

const (
	hosts    = 2
	replicas = 3
	// tokenTime slows the stand-in engines down so that streams last a while.
	tokenTime    = 20 * time.Millisecond
	workspaceKey = "e2e-key"
	// workspaceKeyDigest is the SHA-256 digest of workspaceKey.
	workspaceKeyDigest = "a781b3e13d2b80957d1b925804148f666cc87adb35c1481686a9687f27f8d8a0"
)

// newSite starts all processes and waits until the initial intent is in force.
func newSite(t *testing.T, entryArgs ...string) *site {
	t.Helper()
	s := newStoppedSite(t, replicas)
	s.entryArgs = entryArgs
	s.startAll(t)
	return s
}

// newStoppedSite returns a site without running processes.
func newStoppedSite(t *testing.T, replicas int) *site {
	t.Helper()
	return &site{
		controlAddrs: freeAddrs(t, replicas), controlAdminAddrs: freeAddrs(t, replicas),
		entryAddrs: freeAddrs(t, hosts), entryAdminAddrs: freeAddrs(t, hosts),
		engineAddrs: freeAddrs(t, hosts), serviceAddrs: freeAddrs(t, hosts),
		agentAddrs: freeAddrs(t, hosts), agentAdminAddrs: freeAddrs(t, hosts), relayAddrs: freeAddrs(t, hosts),
		controlAddrsFor: map[string][]string{}, serviceTime: 2 * time.Millisecond,
	}
}

func (s *site) startAll(t *testing.T) {
	t.Helper()
	for i := range hosts {
		s.standinProcs = append(s.standinProcs, startProcess(t, fmt.Sprintf("standin-%d", i), "standin-endpoint", "-engine-listen", s.engineAddrs[i],
			"-service-listen", s.serviceAddrs[i], "-model", "draft", "-token-time", tokenTime.String(), "-slots", "512",
			"-service-time", s.serviceTime.String()))
	}
	s.startControl(t)
	for i := range hosts {
		s.agentProcs = append(s.agentProcs, startProcessWithFiles(t, fmt.Sprintf("agent-%d", i), s.agentFiles, "lilackeel-agent", s.agentArgs(t, i)...))
	}
	s.acceptIntent(t, initialIntent())
	for i := range hosts {
		args := append([]string{
			"-name", fmt.Sprintf("entry-%d", i), "-zone", "a", "-listen", s.entryAddrs[i],
			"-feed", s.controlList(fmt.Sprintf("entry-%d", i)), "-control", s.controlList(fmt.Sprintf("entry-%d", i)),
			"-admin-listen", s.entryAdminAddrs[i], "-relay-listen", s.relayAddrs[i], "-drain-delay", "300ms",
		}, s.entryArgs...)
		s.entryProcs = append(s.entryProcs, startProcess(t, fmt.Sprintf("entry-%d", i), "lilackeel-entry", args...))
	}
	s.awaitServing(t)
}

// controlList returns the addresses at which a daemon reaches the replicas.
func (s *site) controlList(daemon string) string {
	if addrs, ok := s.controlAddrsFor[daemon]; ok {
		return strings.Join(addrs, ",")
	}
	return strings.Join(s.controlAddrs, ",")
}

func (s *site) startControl(t *testing.T, extraArgs ...string) {
	t.Helper()
	var peers []string
	peerAddrs := s.controlAddrs
	if s.peerAddrs != nil {
		peerAddrs = s.peerAddrs
	}
	for i, addr := range peerAddrs {
		peers = append(peers, fmt.Sprintf("%d=%s", i+1, addr))
	}
	for i, addr := range s.controlAddrs {
		s.dataDirs = append(s.dataDirs, filepath.Join(t.TempDir(), "data"))
		args := append([]string{"-id", fmt.Sprint(i + 1), "-zone", "a", "-listen", addr, "-peers", strings.Join(peers, ","),
			"-data-dir", s.dataDirs[i], "-admin-listen", s.controlAdminAddrs[i]}, extraArgs...)
		s.controlProcs = append(s.controlProcs, startProcess(t, fmt.Sprintf("control-%d", i+1), "lilackeel-control", args...))
	}
}

func (s *site) agentArgs(t *testing.T, i int) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "endpoints.yaml")
	text := fmt.Sprintf(`endpoints:
- {id: engine-%d, pool: drafting, kind: engine, url: "http://%s", model: draft, version: "1", slots: 512}
- {id: desk-%d, pool: desk, kind: service, url: "http://%s", slots: 64}
`, i, s.engineAddrs[i], i, s.serviceAddrs[i])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	advertised := s.agentAddrs[i]
	if s.advertisedAddrs != nil {
		advertised = s.advertisedAddrs[i]
	}
	control := s.controlList(fmt.Sprintf("agent-%d", i))
	args := []string{"-name", fmt.Sprintf("agent-%d", i), "-zone", "a", "-listen", s.agentAddrs[i], "-advertise", advertised,
		"-control", control, "-endpoints", file, "-admin-listen", s.agentAdminAddrs[i]}
	if i == 0 {
		return args
	}
	// The other agents get their feed from the relay of the first entry.
	return append(args, "-feed", s.relayAddrs[0]+","+control)
}

// swapsPath accepts calls that are not idempotent and lists them.
const swapsPath = "/desk/swaps"

// notesPath accepts idempotent calls, which are dispatched without a claim, and lists them.
const notesPath = "/desk/notes"

// initialIntent returns the configuration that the tests start from.
func initialIntent() *controlv1.Intent {
	return &controlv1.Intent{
		Id:         "first",
		Operator:   "e2e",
		Workspaces: []*fleetv1.Workspace{{Name: "crew", Importance: 10, KeyDigests: []string{workspaceKeyDigest}}},
		Models:     []*fleetv1.Model{{Name: "draft", Pool: "drafting", Version: "1"}},
		Services: []*fleetv1.Service{{Name: "desk", Pool: "desk", PathPrefix: "/desk", Routes: []*fleetv1.ServiceRoute{
			{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
			{Method: http.MethodPut, PathPrefix: notesPath, Idempotent: true},
		}}},
	}
}

// leaveIntent returns an intent that makes an endpoint leave.
func leaveIntent(id, endpoint string) *controlv1.Intent {
	return &controlv1.Intent{Id: id, Operator: "e2e", Endpoints: []*controlv1.EndpointChange{
		{Id: endpoint, State: fleetv1.EndpointState_ENDPOINT_STATE_LEAVING},
	}}
}

// acceptIntent plans and confirms an intent and returns its revision. Like an operator who has
// lost a response, it repeats the request with the same ID until a replica answers.
func (s *site) acceptIntent(t *testing.T, intent *controlv1.Intent) uint64 {
	t.Helper()
	var digest string
	s.callControl(t, "plan "+intent.GetId(), func(ctx context.Context, c controlv1.ControlClient) error {
		planned, err := c.Plan(ctx, &controlv1.PlanRequest{Intent: intent})
		digest = planned.GetPlan().GetDigest()
		return err
	})
	var revision uint64
	s.callControl(t, "confirm "+intent.GetId(), func(ctx context.Context, c controlv1.ControlClient) error {
		confirmed, err := c.Confirm(ctx, &controlv1.ConfirmRequest{IntentId: intent.GetId(), Digest: digest, Operator: "e2e"})
		revision = confirmed.GetRevision()
		return err
	})
	return revision
}

// callControl calls the control replicas in turn until one answers.
func (s *site) callControl(t *testing.T, label string, call func(context.Context, controlv1.ControlClient) error) {
	t.Helper()
	next := 0
	eventually(t, label, func() error {
		addr := s.controlAddrs[next%len(s.controlAddrs)]
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

// caller returns a caller that uses all entries.
func (s *site) caller() *caller.Caller {
	return &caller.Caller{Entries: s.entryAddrs, Key: workspaceKey, Model: "draft", Client: &http.Client{}}
}

// awaitServing waits until every entry answers a model request and a service call.
func (s *site) awaitServing(t *testing.T) {
	t.Helper()
	c := s.caller()
	for i := range s.entryAddrs {
		eventually(t, "first responses", func() error {
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

// runCount returns how often the call with this body ran on all stand-in services.
func (s *site) runCount(t *testing.T, body string) int {
	t.Helper()
	total := 0
	for i := range s.serviceAddrs {
		total += bytes.Count(s.listEffects(t, i, swapsPath), []byte(`"`+body+`"`))
	}
	return total
}

// listEffects returns the effects of a path at stand-in service i as JSON.
func (s *site) listEffects(t *testing.T, i int, path string) []byte {
	t.Helper()
	response, err := http.Get("http://" + s.serviceAddrs[i] + path)
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

// daemonAtRevision returns nil if a daemon has acknowledged the revision.
func (s *site) daemonAtRevision(t *testing.T, name string, revision uint64) error {
	t.Helper()
	var status *controlv1.StatusResponse
	s.callControl(t, "status", func(ctx context.Context, c controlv1.ControlClient) error {
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

// readMetric returns the value of one metric of a daemon, or an empty string if it has none.
func (s *site) readMetric(t *testing.T, admin, name string) string {
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
