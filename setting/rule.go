package setting

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Rule constrains the value of one setting.
type Rule struct {
	// constraint describes the rule, for the help and the remedy.
	constraint string
	// required is true for a rule that requires a value.
	required bool
	// accepts reports whether a value satisfies the rule.
	accepts func(value any) bool
}

// Required requires a value that is not empty.
var Required = Rule{
	constraint: "required",
	required:   true,
	accepts:    func(value any) bool { return !isEmpty(value) },
}

// HostPort requires the form host:port, for each item of a list. An empty string is
// accepted; add Required to reject it.
var HostPort = Rule{
	constraint: "host:port with a port from 0 to 65535",
	accepts:    everyString(isHostPort),
}

// URL requires an absolute http or https URL. An empty string is accepted.
var URL = Rule{
	constraint: "an http:// or https:// URL",
	accepts:    everyString(IsURL),
}

// Name requires lower-case letters, digits, dots and hyphens, starting with a
// letter or digit. An empty string is accepted.
var Name = Rule{
	constraint: "lower-case letters, digits, dots and hyphens",
	accepts:    everyString(namePattern.MatchString),
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,252}$`)

// Number is the constraint of the types that Min and Max apply to.
type Number interface {
	~int | ~int64 | ~float64
}

// Min requires a value of at least minimum.
func Min[T Number](minimum T) Rule {
	return Rule{
		constraint: "at least " + formatNumber(minimum),
		accepts:    func(value any) bool { return toFloat(value) >= float64(minimum) },
	}
}

// Max requires a value of at most maximum.
func Max[T Number](maximum T) Rule {
	return Rule{
		constraint: "at most " + formatNumber(maximum),
		accepts:    func(value any) bool { return toFloat(value) <= float64(maximum) },
	}
}

// OneOf requires one of the given strings.
func OneOf(allowed ...string) Rule {
	return Rule{
		constraint: "one of " + strings.Join(allowed, ", "),
		accepts:    everyString(func(text string) bool { return slices.Contains(allowed, text) }),
	}
}

// everyString applies test to a string or to each item of a list; an empty string or
// list is accepted.
func everyString(test func(string) bool) func(any) bool {
	return func(value any) bool {
		switch typed := value.(type) {
		case string:
			return typed == "" || test(typed)
		case []string:
			return !slices.ContainsFunc(typed, func(item string) bool { return !test(item) })
		}
		return false
	}
}

func isHostPort(text string) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsURL reports whether text is an absolute URL with the scheme http or https.
func IsURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil {
		return false
	}
	return (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func isEmpty(value any) bool {
	switch typed := value.(type) {
	case string:
		return strings.TrimSpace(typed) == ""
	case []string:
		return len(typed) == 0
	}
	return toFloat(value) == 0
}

func toFloat(value any) float64 {
	switch typed := value.(type) {
	case int:
		return float64(typed)
	case int64:
		return float64(typed)
	case float64:
		return typed
	case time.Duration:
		return float64(typed)
	}
	return 0
}

func formatNumber(value any) string {
	switch typed := value.(type) {
	case time.Duration:
		return formatDuration(typed)
	case int64:
		return FormatBytes(typed)
	}
	return fmt.Sprint(value)
}
