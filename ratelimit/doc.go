// Package ratelimit enforces the rate limits that endpoints advertise.
//
// An endpoint that needs to limit its load advertises in its responses how many requests per second
// it accepts from all entries together. The limit holds for as long as responses advertise it.
// Table holds the limits that one entry knows, Arbiter enforces them for all entries.
//
// All times are monotonic durations since an arbitrary start. Nothing here blocks.
package ratelimit
