// Package picking compares policies by which an entry picks endpoints for calls.
//
// It drives the decision packages (endpoint/pick, load, prefix, outlier) with
// arrivals in virtual time. Endpoints are modelled as queues with prefix caches:
// ranks with continuous batching in groups whose steps are synchronized. All
// policies get the same arrivals. All results depend only on the seed, except for
// the measured times of the decision code itself.
package picking
