// Package haproxy imports HAProxy configuration files: backends become pools with their servers and weights, and frontends
// become routes. Every line is reported with its position and, if it is not carried over exactly, the reason.
//
// The package is written from HAProxy's public configuration manual; section numbers in comments are the manual's. It does
// no I/O: callers pass the files as text and the environment variables as a map.
package haproxy
