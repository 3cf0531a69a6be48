package expertmap

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

const groupsFile = `
groups:
- name: lilackeel-pool
  layers: 2
  experts: 8
  ranks: 4
  slots: 3
  tokenMicros: 2
  expertBytes: 1000000
  storeBytesPerSecond: 1e9
`

// balancedGroup is the group in groupsFile.
const balancedGroup = "lilackeel-pool"

// A persistent imbalance of the counted loads leads to a more even map. Without a policy
// nothing is proposed.
func TestBalancingProposesMoreEvenMap(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "groups.yaml")
	is.NoErr(os.WriteFile(path, []byte(groupsFile), 0o600))
	groups, err := ReadGroups(path)
	is.NoErr(err)
	var policy *fleetv1.BalancePolicy
	b := &BalancingProposer{Configs: groups.Configs, Logger: slog.New(slog.DiscardHandler),
		Policy: func(string) *fleetv1.BalancePolicy { return policy }}
	shape := groups.Shapes[balancedGroup]
	current := group.RoundRobin(shape)
	tokens := []uint64{9000, 500, 500, 500, 9000, 500, 500, 500}
	run := func() (next group.Map, ok bool) {
		for i := 1; i <= 200 && !ok; i++ {
			for layer := range shape.Layers {
				for rank := range shape.Ranks {
					b.Observe(0, &agentv1.ExpertLoad{Group: balancedGroup, Rank: int32(rank), Layer: int32(layer), Tokens: tokens, FromStep: uint64(i * 100), ToStep: uint64(i*100 + 100)})
				}
			}
			next, ok = b.Propose(time.Duration(i)*defaultInterval, balancedGroup, current)
		}
		return next, ok
	}
	_, ok := run()
	is.True(!ok)
	policy = &fleetv1.BalancePolicy{Group: balancedGroup, Evenness: 1, MaxMoves: 4, StoreShare: 0.5, Revision: 1}
	next, ok := run()
	is.True(ok)
	load := make([]float64, shape.Layers*shape.Experts)
	for i := range load {
		load[i] = float64(tokens[i%shape.Experts])
	}
	nominal := []float64{1, 1, 1, 1}
	before, _ := balance.StepLoad(shape, current, load, nominal)
	after, _ := balance.StepLoad(shape, next, load, nominal)
	is.True(after < before)
	is.NoErr(os.WriteFile(path, []byte(groupsFile+"  colour: red\n"), 0o600))
	_, err = ReadGroups(path)
	is.True(err != nil) // unknown fields are rejected
}
