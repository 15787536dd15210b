// Package core defines the identifiers and errors that all aggregates share.
//
// The aggregates are the packages below it. None of them opens a socket, reads
// a clock, decodes a message or starts a goroutine: the front end passes in the
// current time and carries out the returned decision.
package core
