// Package e2e contains the tests that run the daemons as separate processes and kill, freeze
// and stop them. All traffic stays on loopback.
package e2e
