package expertmap

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

func expertLoad(rank int32, more ...int32) *agentv1.ExpertLoad {
	return &agentv1.ExpertLoad{
		Group: testGroup, Layer: tally.AllLayers, Rank: rank, MoreRanks: more,
		Tokens: make([]uint64, largeGroup.Layers*largeGroup.Experts), FromStep: 1, ToStep: 2,
	}
}

// The counts of three quarters of the ranks that one poll asks count as an observation once the
// other ranks have had time to answer.
func TestUnresponsiveRankDoesNotHideDemandChange(t *testing.T) {
	is := is.New(t)
	const interval = 150 * time.Millisecond
	totals := newTotals(largeGroup)
	for rank := int32(0); rank < 32; rank += 8 {
		totals.add(time.Second, expertLoad(rank, rank+1, rank+2, rank+3, rank+4, rank+5, rank+6, rank+7))
	}
	is.Equal(totals.ranks, 32)
	is.True(!totals.sufficient(time.Second+interval, interval)) // two thirds
	totals.add(time.Second, expertLoad(32, 33, 34, 35))
	totals.add(time.Second, expertLoad(32)) // a repeated report
	is.Equal(totals.ranks, 36)
	is.True(!totals.sufficient(time.Second, interval)) // the others may still answer
	is.True(totals.sufficient(time.Second+interval/2, interval))
	totals.add(time.Second, expertLoad(36, 37, 38, 39, 40, 41, 42, 43, 44, 45, 46, 47))
	is.True(totals.sufficient(time.Second, interval)) // all ranks that one poll asks
}
