package settings

import (
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// validate applies the rules in the validate tags and adds what they find.
func (r *reader) validate(value any) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	err := v.Struct(value)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return
	}
	for _, fault := range faults {
		if line, broken := r.reported(fault); !broken {
			r.add(line, "%s", describe(fault))
		}
	}
}

// reported returns the line of a fault and whether its key has a problem
// already.
func (r *reader) reported(fault validator.FieldError) (int, bool) {
	_, path, _ := strings.Cut(fault.StructNamespace(), ".")
	parent := path
	if i := strings.LastIndex(path, "."); i >= 0 {
		parent = path[:i]
	}
	for _, f := range r.values {
		if f.path != parent {
			continue
		}
		line, ok := f.lines.keys[fault.Field()]
		if !ok {
			return f.lines.line, false
		}
		for _, p := range r.problems {
			if p.Line == line {
				return line, true
			}
		}
		return line, false
	}
	return 0, false
}

func describe(fault validator.FieldError) string {
	_, name, _ := strings.Cut(fault.Namespace(), ".")
	name = strings.ReplaceAll(name, ".", " ")
	switch fault.Tag() {
	case "required":
		return "key " + quote(name) + " is missing"
	case "oneof":
		return "key " + quote(name) + " must be one of: " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "min", "gte":
		return "key " + quote(name) + " must be at least " + fault.Param()
	case "max", "lte":
		return "key " + quote(name) + " must be at most " + fault.Param()
	case "gt":
		return "key " + quote(name) + " must be more than " + fault.Param()
	case "len":
		return "key " + quote(name) + " must have length " + fault.Param()
	case "ltefield", "gtefield", "ltfield", "gtfield":
		return "key " + quote(name) + " contradicts " + quote(fault.Param())
	case "hostname_port":
		return "key " + quote(name) + " must be an address such as 127.0.0.1:8080"
	default:
		return "key " + quote(name) + " breaks the rule " + quote(fault.Tag())
	}
}

func quote(s string) string { return `"` + s + `"` }
