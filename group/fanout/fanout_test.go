package fanout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// agents returns perZone agents for each of the given number of zones.
func agents(zones, perZone int) []Agent {
	var all []Agent
	for zone := range zones {
		for number := range perZone {
			all = append(all, Agent{Addr: fmt.Sprintf("10.%d.0.%03d:7400", zone, number), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return all
}

func all(string) bool { return true }

// TestALargeGroupIsReachedByFewCalls calls 195 agents in five zones, the size of a large
// group: each is reached once, by a relay of its own zone, with an eighth of the calls.
func TestALargeGroupIsReachedByFewCalls(t *testing.T) {
	is := is.New(t)
	zones := map[string]string{}
	for _, agent := range agents(5, 39) {
		zones[agent.Addr] = agent.Zone
	}
	branches := NewPlan(agents(5, 39), 8).Branches(all, all)
	is.Equal(len(branches), 25)
	reached := map[string]int{}
	for _, branch := range branches {
		reached[branch.Relay]++
		is.True(len(branch.Others) < 8)
		for _, addr := range branch.Others {
			reached[addr]++
			is.Equal(zones[addr], zones[branch.Relay])
		}
	}
	is.Equal(len(reached), 195)
	for _, calls := range reached {
		is.Equal(calls, 1)
	}
}

// TestAnUnresponsiveAgentDelaysNoOther checks that an agent that left its last request
// unanswered is called directly. If it was the relay, the next agent of its partition
// becomes the relay, and no other partition changes.
func TestAnUnresponsiveAgentDelaysNoOther(t *testing.T) {
	is := is.New(t)
	plan := NewPlan(agents(2, 16), 8)
	before := plan.Branches(all, all)
	lost := before[1].Relay
	after := plan.Branches(all, func(addr string) bool { return addr != lost })
	is.Equal(len(after), len(before)+1)
	is.Equal(after[0], before[0])
	is.Equal(after[1], Branch{Relay: lost})
	is.Equal(after[2], Branch{Relay: before[1].Others[0], Others: before[1].Others[1:]})
	is.Equal(after[3:], before[2:])
}

// TestFewRequestsKeepTheirRelay sends a request to one agent only: it goes through the
// relay of its partition, which already has a connection to that agent.
func TestFewRequestsKeepTheirRelay(t *testing.T) {
	is := is.New(t)
	plan := NewPlan(agents(2, 16), 8)
	branches := plan.Branches(all, all)
	target := branches[2].Others[3]
	is.Equal(plan.Branches(func(addr string) bool { return addr == target }, all), []Branch{{Relay: branches[2].Relay, Others: []string{target}}})
	is.Equal(len(plan.Branches(func(string) bool { return false }, all)), 0)
}

func loadResponse(rank int32, tokens ...uint64) *agentv1.GroupResponse {
	return &agentv1.GroupResponse{Loads: []*agentv1.ExpertLoad{{Group: "g/1", Layer: -1, Rank: rank, Tokens: tokens, FromStep: 3, ToStep: 5}}}
}

// TestLoadsAreSummedByTheRelay merges the loads of three ranks into one, and keeps a
// second report of one of them separate.
func TestLoadsAreSummedByTheRelay(t *testing.T) {
	is := is.New(t)
	merged := loadResponse(0, 1, 2)
	Merge(merged, loadResponse(1, 10, 20))
	Merge(merged, loadResponse(2, 100, 200))
	Merge(merged, loadResponse(1, 5, 5))
	is.Equal(len(merged.GetLoads()), 2)
	is.Equal(merged.GetLoads()[0].GetTokens(), []uint64{111, 222})
	is.Equal(merged.GetLoads()[0].GetMoreRanks(), []int32{1, 2})
	is.Equal(merged.GetLoads()[1].GetTokens(), []uint64{5, 5})
}

// Guards against a slow rank that counts as nominal because its load was added to that of others.
func TestMergedLoadsKeepTheSlowdownsOfAllRanks(t *testing.T) {
	is := is.New(t)
	load := func(rank int32, slowdowns ...*agentv1.RankSlowdown) *agentv1.GroupResponse {
		return &agentv1.GroupResponse{Loads: []*agentv1.ExpertLoad{{Group: "g", Rank: rank, Tokens: []uint64{1}, Slowdowns: slowdowns}}}
	}
	sum := load(0)
	Merge(sum, load(1, &agentv1.RankSlowdown{Rank: 1, Slowdown: 2.26}))
	Merge(sum, load(2))
	Merge(sum, load(3, &agentv1.RankSlowdown{Rank: 3, Slowdown: 12}))
	is.Equal(len(sum.GetLoads()), 1)
	slowdowns := sum.GetLoads()[0].GetSlowdowns()
	is.Equal(len(slowdowns), 2)
	is.Equal(slowdowns[0].GetRank(), int32(1))
	is.Equal(slowdowns[1].GetSlowdown(), 12.0)
}
