// Package balance decides when to switch a group to another expert map.
//
// Expert load counters are delayed and noisy. A Forecaster filters them and
// estimates its own error. Improve finds the few moves that even out the load of
// the ranks most; Greedy builds a map from the loads alone. A Balancer compares the
// step time that a new map saves, over the time for which the saving is expected to
// last, with the cost of loading weights, stalling the group and losing cached
// prefixes. It proposes a map only if the saving exceeds what the forecast's error
// alone could account for. A Follower does the same for groups whose demand jumps
// every few seconds. RankSpeeds keeps what the ranks of a group report of their speed.
//
// Loads are in tokens per step and times in seconds unless a name says otherwise.
// Nothing here reads a clock or starts a goroutine; a Balancer is not safe for
// concurrent use.
package balance
