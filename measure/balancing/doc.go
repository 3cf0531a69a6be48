// Package balancing compares policies for rebalancing expert maps on the
// workloads in the workloads directory.
//
// Within a workload, all policies see the same expert popularity and the same
// noise, both derived from one seed, so a seed determines the results. The cost
// of a step is computed from the loads of the ranks; no cluster is simulated.
// Run writes the report and the plot in docs/balancing.
package balancing
