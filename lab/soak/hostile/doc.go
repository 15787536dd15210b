// Package hostile tests routers as separate processes against clients that try to make them
// hold memory: the process must live, stay within its memory and descriptors, and go on
// serving. The tests run with HOSTILE=1, one at a time; see make hostile.
package hostile
