package table

import (
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxNameBytes bounds the names of rows, which keeps records and log lines small.
const maxNameBytes = 64

// hashBytes is the size of a SHA-256 hash.
const hashBytes = 32

// checkName returns an error if s is not a valid name.
func checkName(s string) error {
	if s == "" {
		return errors.New("is empty")
	}
	if len(s) > maxNameBytes {
		return errors.Errorf("is longer than %d bytes", maxNameBytes)
	}
	for i, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if letter || i > 0 && strings.ContainsRune("-._:/", r) {
			continue
		}
		return errors.Errorf("%q has a character other than letters, digits and, after the first, - . _ : /", s)
	}
	return nil
}

// canonical returns the canonical form of a value, so that equal values have equal text, or an error if the column does
// not allow the value. An empty value stays empty.
func (c *Column) canonical(s string) (string, error) {
	s = strings.TrimSpace(s)
	if s == "" {
		if c.Required {
			return "", errors.New("is empty, but has no default")
		}
		return "", nil
	}
	switch c.Type {
	case Number, Count:
		return c.canonicalNumber(s)
	case YesNo:
		s = strings.ToLower(s)
		if s != "yes" && s != "no" {
			return "", errors.Errorf("%q is neither yes nor no", s)
		}
	case Choice:
		s = strings.ToLower(s)
		if !slices.Contains(c.Choices, s) {
			return "", errors.Errorf("%q is not one of %s", s, strings.Join(c.Choices, ", "))
		}
	case Name:
		return s, checkName(s)
	case Names:
		return canonicalNames(s)
	case Hash:
		s = strings.ToLower(s)
		if b, err := hex.DecodeString(s); err != nil || len(b) != hashBytes {
			return "", errors.Errorf("is not the hex form of %d bytes", hashBytes)
		}
	}
	return s, nil
}

func (c *Column) canonicalNumber(s string) (string, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) {
		return "", errors.Errorf("%q is not a number", s)
	}
	if c.Type == Count && v != math.Trunc(v) {
		return "", errors.Errorf("%q is not a whole number", s)
	}
	if v < c.Min || v > c.Max {
		return "", errors.Errorf("%q is outside %s", s, c.Range())
	}
	if v == 0 {
		return "0", nil // gives 0 and -0 the same form
	}
	return strconv.FormatFloat(v, 'f', -1, 64), nil
}

func canonicalNames(s string) (string, error) {
	names := strings.Fields(s)
	slices.Sort(names)
	for i, n := range names {
		if err := checkName(n); err != nil {
			return "", err
		}
		if i > 0 && names[i-1] == n {
			return "", errors.Errorf("%q is listed twice", n)
		}
	}
	return strings.Join(names, " "), nil
}

// Range describes the allowed values.
func (c *Column) Range() string {
	switch c.Type {
	case Number, Count:
		f := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
		return f(c.Min) + " to " + f(c.Max)
	case YesNo:
		return "yes, no"
	case Choice:
		return strings.Join(c.Choices, ", ")
	case Hash:
		return "64 hex digits"
	case Name, Names:
		if c.Refers != "" {
			return "existing " + string(c.Refers)
		}
	}
	return "letters, digits, - . _ : /"
}
