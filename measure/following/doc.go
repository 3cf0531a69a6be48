// Package following simulates, in virtual time, how closely expert maps track
// demand that jumps every few seconds. Its results are the basis of
// balance.Follower and of its settings in package control.
//
// A group of lock-step ranks serves demand whose popular experts change at each
// jump. A policy receives counts periodically and with a delay, and switches maps;
// the time of a switch depends on the number of copies to the rank that receives
// most, and steps are slower while experts are copied. The results are the mean
// step time relative to that of evenly loaded ranks, the fraction of the time with
// a skew so high that streams are late, and the number of copies.
package following
