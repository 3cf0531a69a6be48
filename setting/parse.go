package setting

import (
	"errors"
	"flag"
	"fmt"
	"sort"
	"strings"

	"github.com/lilackeel/lilackeel/fault"
)

// Faults is the error of Parse: every fault found, in the order of the
// settings. errors.As finds the single faults.
type Faults []*fault.Error

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the settings", len(f)))
	if len(f) == 1 {
		lines[0] = "1 fault in the settings"
	}
	for _, each := range f {
		lines = append(lines, "  "+each.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (f Faults) Unwrap() []error {
	errs := make([]error, len(f))
	for i, each := range f {
		errs[i] = each
	}
	return errs
}

// Parse reads args (without the program name) and environ (as os.Environ
// returns it) into the registered targets and runs every rule and check. The
// error is of type Faults. With PrintVersion and PrintHelp there is no error:
// these work with any configuration.
func (s *Set) Parse(args, environ []string) (Action, error) {
	faults, help := s.parseFlags(args)
	switch {
	case help:
		return PrintHelp, nil
	case s.version:
		return PrintVersion, nil
	}
	s.readEnvironment(environ)
	faults = append(faults, s.readFile()...)
	for _, entry := range s.settings {
		entry.resolve()
		faults = append(faults, entry.faults...)
	}
	for _, check := range s.checks {
		faults = append(faults, flatten(check())...)
	}
	action := Run
	if s.check {
		action = CheckOnly
	}
	if len(faults) > 0 {
		return action, faults
	}
	return action, nil
}

// parseFlags runs package flag over args again and again, past each fault.
func (s *Set) parseFlags(args []string) (faults Faults, help bool) {
	for len(args) > 0 {
		err := s.flags.Parse(args)
		rest := s.flags.Args()
		switch {
		case errors.Is(err, flag.ErrHelp):
			return faults, true
		case err != nil:
			faults = append(faults, s.flagFault(err))
			rest = skipValue(args, rest)
		case len(rest) > 0:
			faults = append(faults, fault.Newf(fault.Invalid,
				"remove it, or write the flag that it belongs to before it; quote values with spaces",
				"unexpected argument %q", rest[0]))
			rest = rest[1:]
		}
		args = rest
	}
	return faults, false
}

// flagFault turns an error of package flag into a fault. The message of package
// flag names the flag only, never the value of an unknown one.
func (s *Set) flagFault(err error) *fault.Error {
	text := err.Error()
	remedy := "see -help for all settings"
	if name, found := strings.CutPrefix(text, "flag provided but not defined: -"); found {
		if near := s.nearest(name); near != "" {
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
// would otherwise be reported a second time as an unexpected argument.
func skipValue(before, rest []string) []string {
	consumed := len(before) - len(rest)
	if consumed < 1 || len(rest) == 0 {
		return rest
	}
	faulty := before[consumed-1]
	if strings.Contains(faulty, "=") || strings.HasPrefix(rest[0], "-") {
		return rest
	}
	return rest[1:]
}

// readEnvironment hands each variable to its setting and notes unknown ones.
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
		case variable == EnvironmentPrefix+strings.ToUpper(fileName):
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

// setFromFlag keeps the text of a flag. A flag given twice with two values is a
// contradiction, except for a list, whose values add up.
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
		e.faults = append(e.faults, fault.Newf(fault.Invalid, "keep one of them",
			"-%s is given twice with different values", e.name))
	}
}

// resolve stores the text and applies the rules.
func (e *setting) resolve() {
	if e.source != fromDefault {
		if err := e.store(e.text); err != nil {
			e.faults = append(e.faults, e.malformed(err))
			return
		}
	}
	for _, rule := range e.rules {
		if rule.accepts(e.current()) {
			continue
		}
		e.faults = append(e.faults, e.broken(rule))
		if rule.required {
			return
		}
	}
}

// malformed is the fault of a value that cannot be read.
func (e *setting) malformed(err error) *fault.Error {
	if e.secret {
		return fault.Newf(fault.Invalid, "give the secret itself, or @ and the path of a readable file", "%s cannot be read", e.origin()).WithCause(err)
	}
	return fault.Newf(fault.Invalid, "write "+e.kind.example(), "%s has the malformed value %q", e.origin(), e.text)
}

// broken is the fault of a value that a rule refuses.
func (e *setting) broken(rule Rule) *fault.Error {
	if rule.required {
		return fault.Newf(fault.Invalid,
			fmt.Sprintf("set -%s or %s: %s", e.name, e.environmentName(), e.description),
			"-%s is missing", e.name)
	}
	return fault.Newf(fault.Invalid, "it must be "+rule.limit, "%s has the value %q", e.origin(), e.printable(e.text))
}

// origin names the input that the value came from.
func (e *setting) origin() string {
	switch e.source {
	case fromFile:
		return e.name + " in the file of settings"
	case fromEnvironment:
		return e.environmentName()
	case fromFlag:
		return "-" + e.name
	}
	return "the default of -" + e.name
}

// printable returns text, or a placeholder for a secret.
func (e *setting) printable(text string) string {
	if e.secret && text != "" {
		return redacted
	}
	return text
}

// flatten turns the error of a check into faults.
func flatten(err error) Faults {
	if err == nil {
		return nil
	}
	if typed, ok := err.(*fault.Error); ok {
		return Faults{typed}
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var faults Faults
		for _, each := range joined.Unwrap() {
			faults = append(faults, flatten(each)...)
		}
		return faults
	}
	if typed := fault.As(err); typed != nil {
		return Faults{typed}
	}
	return Faults{fault.New(fault.Invalid, err.Error(), "see -help for all settings")}
}
