// Package wrap adds context to errors. Unlike errors.Wrap of go-faster/errors,
// it keeps a nil error nil.
package wrap

import "github.com/go-faster/errors"

// Err returns err with "text: " in front of its message, or nil if err is nil.
func Err(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
