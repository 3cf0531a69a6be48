// Package main holds the stand-ins of the second review: a small deployment of the project's own
// programs on loopback addresses, an operator, callers and servers. Each case is one subcommand; the
// scripts review/N/run.sh start them. It is built by review/build-2.sh and is no part of the product.
package main
