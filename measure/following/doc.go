// Package following measures how closely expert maps follow demand that jumps
// every few seconds, in virtual time: the figures behind package balance's
// Follower and its settings in package control.
//
// A group of lock-step ranks serves demand whose popular experts are exchanged at
// each jump. A policy sees what was counted, late and in intervals, and switches
// maps; a switch takes time by the copies that the busiest rank takes in, and
// makes steps slower meanwhile. What counts is the mean time of a step against
// one with even ranks, the part of the time with a high skew, in which streams are
// late, and the copies.
package following
