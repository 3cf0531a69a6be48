// Package group describes groups of ranks that run a model in lock-step.
//
// A group consists of ranks. Each layer of the model has a number of experts,
// and each rank has a fixed number of slots per layer, each of which holds the
// weights of one expert. An expert map assigns experts to slots; an expert that
// is assigned to several slots has that many replicas, and its tokens are divided
// evenly among them. Because every layer ends in an exchange between all
// ranks, the rank with the most work in a layer determines the time of the layer.
//
// All ranks of a group must use the same map in every step; package mapswitch
// replaces a map without violating that rule, and package balance decides which
// map is worth switching to.
package group
