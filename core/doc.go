// Package core holds the plain types that every aggregate shares.
//
// The aggregates live in the packages below it. None of them opens a socket,
// reads a clock, decodes a message or starts a goroutine: a front end passes
// the present time and carries out what a decision returns.
package core
