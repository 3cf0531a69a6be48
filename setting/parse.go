package setting

import (
	"errors"
	"flag"
	"fmt"
	"sort"
	"strings"

	"github.com/lilackeel/lilackeel/fault"
)

// Errors is the error type of Parse. It holds all errors, in the order in which the
// settings were registered; errors.As finds the individual ones.
type Errors []*fault.Error

// Error lists all errors, one per line.
func (f Errors) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d errors in the settings", len(f)))
	if len(f) == 1 {
		lines[0] = "1 error in the settings"
	}
	for _, each := range f {
		lines = append(lines, "  "+each.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (f Errors) Unwrap() []error {
	errs := make([]error, len(f))
	for i, each := range f {
		errs[i] = each
	}
	return errs
}

// Parse reads args (without the program name), environ (as os.Environ returns it)
// and the settings file into the registered targets and runs every rule and check.
// The error is of type Errors. PrintVersion and PrintHelp are returned without an
// error, so that they work with any configuration.
func (s *Set) Parse(args, environ []string) (Action, error) {
	errs, help := s.parseFlags(args)
	switch {
	case help:
		return PrintHelp, nil
	case s.version:
		return PrintVersion, nil
	}
	s.readEnvironment(environ)
	errs = append(errs, s.readFile()...)
	for _, entry := range s.settings {
		entry.resolve()
		errs = append(errs, entry.errs...)
	}
	for _, check := range s.checks {
		errs = append(errs, flattenErrors(check())...)
	}
	action := Run
	if s.check {
		action = CheckOnly
	}
	if len(errs) > 0 {
		return action, errs
	}
	return action, nil
}

// parseFlags parses args with package flag, which stops at the first error, and
// resumes after each error until all arguments are parsed.
func (s *Set) parseFlags(args []string) (errs Errors, help bool) {
	for len(args) > 0 {
		err := s.flags.Parse(args)
		rest := s.flags.Args()
		switch {
		case errors.Is(err, flag.ErrHelp):
			return errs, true
		case err != nil:
			errs = append(errs, s.flagError(err))
			rest = skipValue(args, rest)
		case len(rest) > 0:
			errs = append(errs, fault.Newf(fault.Invalid,
				"remove it, or put the flag that it belongs to before it; quote values with spaces",
				"unexpected argument %q", rest[0]))
			rest = rest[1:]
		}
		args = rest
	}
	return errs, false
}

// flagError converts an error of package flag to a fault.Error. The message of
// package flag contains only the name of an unknown flag, never its value.
func (s *Set) flagError(err error) *fault.Error {
	text := err.Error()
	remedy := "see -help for all settings"
	if name, found := strings.CutPrefix(text, "flag provided but not defined: -"); found {
		if near := s.closestName(name); near != "" {
			remedy = "did you mean -" + near + "? " + remedy
		}
		return fault.Newf(fault.Invalid, remedy, "unknown flag -%s", name)
	}
	if strings.HasPrefix(text, "bad flag syntax") {
		return fault.New(fault.Invalid, "malformed flag", "write -name=value; "+remedy)
	}
	return fault.New(fault.Invalid, text, remedy)
}

// skipValue drops the value of an unknown flag written as "-name value", which
// would otherwise be reported again as an unexpected argument.
func skipValue(before, rest []string) []string {
	consumed := len(before) - len(rest)
	if consumed < 1 || len(rest) == 0 {
		return rest
	}
	flagArg := before[consumed-1]
	if strings.Contains(flagArg, "=") || strings.HasPrefix(rest[0], "-") {
		return rest
	}
	return rest[1:]
}

// readEnvironment assigns each variable to its setting and records a warning for
// unknown ones.
func (s *Set) readEnvironment(environ []string) {
	byVariable := make(map[string]*setting, len(s.settings))
	for _, entry := range s.settings {
		byVariable[entry.environmentName()] = entry
	}
	for _, pair := range environ {
		variable, text, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(variable, EnvironmentPrefix) {
			continue
		}
		entry, known := byVariable[variable]
		switch {
		case variable == EnvironmentPrefix+strings.ToUpper(settingsFileFlag):
			if s.file == "" {
				s.file = text
			}
		case !known:
			s.warnings = append(s.warnings, variable+" is not a setting of "+s.daemon)
		case text != "" && entry.source < fromEnvironment:
			entry.text = text
			entry.source = fromEnvironment
		}
	}
	sort.Strings(s.warnings)
}

// setFromFlag records the value of a flag. A flag given twice with different values
// is an error, except for a list, where the values are appended.
func (e *setting) setFromFlag(text string) {
	if e.source != fromFlag {
		e.text = text
		e.source = fromFlag
		return
	}
	if e.kind == kindList {
		e.text += "," + text
		return
	}
	if e.text != text {
		e.errs = append(e.errs, fault.Newf(fault.Invalid, "keep one of them",
			"-%s is given twice with different values", e.name))
	}
}

// resolve parses the text into the target and applies the rules.
func (e *setting) resolve() {
	if e.source != fromDefault {
		if err := e.store(e.text); err != nil {
			e.errs = append(e.errs, e.malformedError(err))
			return
		}
	}
	for _, rule := range e.rules {
		if rule.accepts(e.value()) {
			continue
		}
		e.errs = append(e.errs, e.ruleError(rule))
		if rule.required {
			return
		}
	}
}

// malformedError returns the error for a value that cannot be parsed.
func (e *setting) malformedError(err error) *fault.Error {
	if e.secret {
		return fault.Newf(fault.Invalid, "give the secret itself, or @ followed by the path of a readable file", "%s cannot be read", e.origin()).WithCause(err)
	}
	return fault.Newf(fault.Invalid, "write "+e.kind.example(), "%s has the malformed value %q", e.origin(), e.text)
}

// ruleError returns the error for a value that violates rule.
func (e *setting) ruleError(rule Rule) *fault.Error {
	if rule.required {
		return fault.Newf(fault.Invalid,
			fmt.Sprintf("set -%s or %s: %s", e.name, e.environmentName(), e.description),
			"-%s is missing", e.name)
	}
	return fault.Newf(fault.Invalid, "it must be "+rule.constraint, "%s has the value %q", e.origin(), e.printable(e.text))
}

// origin describes the input that the value came from.
func (e *setting) origin() string {
	switch e.source {
	case fromFile:
		return e.name + " in the settings file"
	case fromEnvironment:
		return e.environmentName()
	case fromFlag:
		return "-" + e.name
	}
	return "the default of -" + e.name
}

// printable returns text, or a placeholder if the setting is a secret.
func (e *setting) printable(text string) string {
	if e.secret && text != "" {
		return redacted
	}
	return text
}

// flattenErrors converts the error of a check to Errors.
func flattenErrors(err error) Errors {
	if err == nil {
		return nil
	}
	if typed, ok := err.(*fault.Error); ok {
		return Errors{typed}
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var errs Errors
		for _, each := range joined.Unwrap() {
			errs = append(errs, flattenErrors(each)...)
		}
		return errs
	}
	if typed := fault.As(err); typed != nil {
		return Errors{typed}
	}
	return Errors{fault.New(fault.Invalid, err.Error(), "see -help for all settings")}
}
