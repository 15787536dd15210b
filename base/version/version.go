// Package version holds the version that all programs report.
package version

// Version is the released version.
const Version = "0.1.0"
