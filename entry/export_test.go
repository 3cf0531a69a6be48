package entry

import "time"

// Matched is the number of leading blocks that the entry thinks cached.
func (d *Daemon) MatchedBlocks(id string, blocks []uint64) int {
	return d.server.Index.Match(d.server.now(), id, blocks)
}

// Wait is how long the entry believes that a call would wait at an endpoint.
func (d *Daemon) Wait(id string) time.Duration {
	return d.server.Loads.Wait(d.server.now(), id)
}

// StepTime is what the entry believes of the steps of an endpoint.
func (d *Daemon) StepTime(id string) time.Duration {
	return d.server.Loads.Estimate(d.server.now(), id).StepTime
}
