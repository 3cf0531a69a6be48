package reconcile

// loadBudget is how many more loads may begin.
type loadBudget struct {
	fleet int
	pools map[string]int
}

// loads returns the budget that the loads under way leave.
func (r *Reconciler) loads(endpoints []Endpoint) *loadBudget {
	sizes := map[string]int{}
	for _, endpoint := range endpoints {
		sizes[endpoint.Pool]++
	}
	budget := &loadBudget{fleet: r.limits.MaxLoads, pools: map[string]int{}}
	for pool, size := range sizes {
		budget.pools[pool] = max(1, int(r.limits.MaxLoadShare*float64(size)))
	}
	for _, w := range r.endpoints {
		if w.loading {
			budget.take(w.pool)
		}
	}
	return budget
}

// take uses the budget for one more load if it allows one.
func (b *loadBudget) take(pool string) bool {
	if b.fleet <= 0 || b.pools[pool] <= 0 {
		return false
	}
	b.fleet--
	b.pools[pool]--
	return true
}
