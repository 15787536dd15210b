// Package wrap adds context to errors. The library's own function makes an
// error out of none, which these don't.
package wrap

import "github.com/go-faster/errors"

// Err returns err with text before it, or nil if err is nil.
func Err(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
