// Package version holds the version of all programs.
package version

// Version is the released version.
const Version = "0.1.0"
