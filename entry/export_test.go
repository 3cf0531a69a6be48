package entry

import "time"

// MatchedBlocks returns the number of leading blocks that the entry's index holds as cached.
func (d *Daemon) MatchedBlocks(id string, blocks []uint64) int {
	return d.server.Index.Match(d.server.now(), id, blocks)
}

// Wait returns the entry's estimate of the wait of a call at an endpoint.
func (d *Daemon) Wait(id string) time.Duration { return d.server.Loads.Wait(d.server.now(), id) }

// StepTime returns the entry's estimate of the step time of an endpoint.
func (d *Daemon) StepTime(id string) time.Duration {
	return d.server.Loads.Estimate(d.server.now(), id).StepTime
}
