// Package ratelimit keeps the rate limits that endpoints name.
//
// An endpoint in need names in its answers how many requests a second it takes from all
// entries together, for as long as it says so. Table holds what an entry knows of it.
//
// All times are durations since an arbitrary start, monotonic. Nothing here blocks.
package ratelimit
