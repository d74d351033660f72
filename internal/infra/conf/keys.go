package conf

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Key declares a key of the settings file.
type Key struct {
	Section, Name string
	// Default is the value if the file does not set the key. A key without a default is required unless it is Optional.
	Default  string
	Optional bool
	// Doc describes the key to operators in one or two sentences, with its unit.
	Doc string
	// set validates value and stores it in s.
	set func(s *Settings, value string) error
}

func textKey(section, name, def, doc string, field func(*Settings) *string) Key {
	return Key{Section: section, Name: name, Default: def, Doc: doc, set: func(s *Settings, v string) error {
		if strings.ContainsAny(v, "\x00\n") {
			return errors.New("contains a control character")
		}
		*field(s) = v
		return nil
	}}
}

func optional(k Key) Key {
	k.Optional = true
	return k
}

func nameKey(section, key, doc string, field func(*Settings) *string) Key {
	k := textKey(section, key, "", doc, field)
	set := k.set
	k.set = func(s *Settings, v string) error {
		if v == "" || len(v) > 64 || strings.ContainsAny(v, " \t/") {
			return errors.New("want a name of 1 to 64 characters without blanks and slashes")
		}
		return set(s, v)
	}
	return k
}

func addressKey(section, key, def, doc string, field func(*Settings) *string) Key {
	k := textKey(section, key, def, doc, field)
	set := k.set
	k.set = func(s *Settings, v string) error {
		host, port, err := net.SplitHostPort(v)
		if err != nil {
			return errors.New("want IP:port")
		}
		if net.ParseIP(host) == nil {
			return errors.Errorf("%q is not an IP address", host)
		}
		if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
			return errors.Errorf("%q is not a port", port)
		}
		return set(s, v)
	}
	return k
}

func durationKey(section, key, def string, lo, hi time.Duration, doc string, field func(*Settings) *time.Duration) Key {
	return Key{Section: section, Name: key, Default: def, Doc: doc, set: func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return errors.New("want a duration such as 500ms or 2s")
		}
		if d < lo || d > hi {
			return errors.Errorf("%v is out of range, want %v to %v", d, lo, hi)
		}
		*field(s) = d
		return nil
	}}
}

// number constrains the types of numeric keys.
type number interface{ ~int | ~int64 | ~float64 }

func numericKey[T number](section, key, def string, lo, hi T, doc string, field func(*Settings) *T) Key {
	return Key{Section: section, Name: key, Default: def, Doc: doc, set: func(s *Settings, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || f != f {
			return errors.New("want a number")
		}
		n := T(f)
		if float64(n) != f {
			return errors.New("want a whole number")
		}
		if n < lo || n > hi {
			return errors.Errorf("%v is out of range, want %v to %v", n, lo, hi)
		}
		*field(s) = n
		return nil
	}}
}

func choiceKey(section, key, def string, values []string, doc string, field func(*Settings) *string) Key {
	doc = fmt.Sprintf("%s One of %s.", doc, strings.Join(values, ", "))
	return Key{Section: section, Name: key, Default: def, Doc: doc, set: func(s *Settings, v string) error {
		for _, allowed := range values {
			if v == allowed {
				*field(s) = v
				return nil
			}
		}
		return errors.Errorf("want one of %s", strings.Join(values, ", "))
	}}
}
