package settings

import (
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// validate applies the rules in the validate tags and adds a problem for each
// violation, except for keys whose line already has a problem.
func (d *decoder) validate(value any) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	err := v.Struct(value)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, violation := range violations {
		if line, reported := d.lineOf(violation); !reported {
			d.addProblem(line, "%s", describe(violation))
		}
	}
}

// lineOf returns the line of the key that violates a rule, and whether that
// line already has a problem. If the key is missing, the line is that of its
// section, or zero if the section is missing too.
func (d *decoder) lineOf(violation validator.FieldError) (int, bool) {
	_, path, _ := strings.Cut(violation.StructNamespace(), ".")
	parent := path
	if i := strings.LastIndex(path, "."); i >= 0 {
		parent = path[:i]
	}
	for _, s := range d.decoded {
		if s.path != parent {
			continue
		}
		line, ok := s.lines.keys[violation.Field()]
		if !ok {
			return s.lines.line, false
		}
		for _, p := range d.problems {
			if p.Line == line {
				return line, true
			}
		}
		return line, false
	}
	return 0, false
}

// describe returns the text of a problem. The texts for the rules that apply to
// tokens leave out the value, so that no token gets into a log.
func describe(violation validator.FieldError) string {
	_, name, _ := strings.Cut(violation.Namespace(), ".")
	key := "key " + quote(strings.ReplaceAll(name, ".", " "))
	param, value := violation.Param(), violation.Value()
	switch violation.Tag() {
	case "required":
		return key + " is missing"
	case "oneof":
		return fmt.Sprintf("%s must be one of: %s (got %q)", key, strings.ReplaceAll(param, " ", ", "), value)
	case "min", "gte":
		return fmt.Sprintf("%s must be at least %s (got %v)", key, param, value)
	case "max", "lte":
		return fmt.Sprintf("%s must be at most %s (got %v)", key, param, value)
	case "gt":
		return fmt.Sprintf("%s must be more than %s (got %v)", key, param, value)
	case "len":
		return fmt.Sprintf("%s must have length %s (got %d)", key, param, utf8.RuneCountInString(fmt.Sprint(value)))
	case "ltefield":
		return fmt.Sprintf("%s must be at most the value of %q (got %v)", key, param, value)
	case "gtefield":
		return fmt.Sprintf("%s must be at least the value of %q (got %v)", key, param, value)
	case "ltfield":
		return fmt.Sprintf("%s must be less than the value of %q (got %v)", key, param, value)
	case "gtfield":
		return fmt.Sprintf("%s must be more than the value of %q (got %v)", key, param, value)
	case "hostname_port":
		return fmt.Sprintf("%s must be an address such as 127.0.0.1:8080 (got %q)", key, value)
	default:
		return key + " violates the rule " + quote(violation.Tag())
	}
}

func quote(s string) string { return `"` + s + `"` }
