// Package fairness compares how the admission control of package workspace and a
// plain first-come-first-served queue share slots among workspaces. It is a
// discrete-event simulation in virtual time.
//
// The same seed gives the same arrivals, run times and results. Run times do not
// depend on the number of running requests, so the results show the effect of
// admission control alone, not that of batching in the engines.
package fairness
