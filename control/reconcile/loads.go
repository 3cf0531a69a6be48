package reconcile

// loadBudget is the number of loads that may still be started.
type loadBudget struct {
	fleet int
	pools map[string]int
}

// remainingLoads returns the budget that the loads in progress leave.
func (r *Reconciler) remainingLoads(endpoints []Endpoint) *loadBudget {
	sizes := map[string]int{}
	for _, endpoint := range endpoints {
		sizes[endpoint.Pool]++
	}
	budget := &loadBudget{fleet: r.limits.MaxLoads, pools: map[string]int{}}
	for pool, size := range sizes {
		budget.pools[pool] = max(1, int(r.limits.MaxLoadShare*float64(size)))
	}
	for _, state := range r.endpoints {
		if state.loading {
			budget.take(state.pool)
		}
	}
	return budget
}

// take consumes one load of the budget and reports whether the budget allowed it.
func (b *loadBudget) take(pool string) bool {
	if b.fleet <= 0 || b.pools[pool] <= 0 {
		return false
	}
	b.fleet--
	b.pools[pool]--
	return true
}
