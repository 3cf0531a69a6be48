package fault

import (
	"testing"

	"github.com/matryer/is"
)

func TestLeaderAddr(t *testing.T) {
	is := is.New(t)
	addr, ok := LeaderAddr(NewNotLeader(7, "10.0.0.1:80"))
	is.True(ok)
	is.Equal(addr, "10.0.0.1:80")
	_, ok = LeaderAddr(New(NotLeader, "not ready", "send it again"))
	is.True(!ok)
	_, ok = LeaderAddr(New(NoQuorum, "none", leaderRemedyPrefix+"10.0.0.1:80"))
	is.True(!ok)
}
