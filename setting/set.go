package setting

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// EnvironmentPrefix is the prefix of every environment variable that holds a setting.
const EnvironmentPrefix = "LILACKEEL_"

// Action is what the command line asks the program to do.
type Action int

// Actions. Run is the zero value.
const (
	// Run starts the program.
	Run Action = iota
	// CheckOnly validates the settings and exits.
	CheckOnly
	// PrintVersion prints the version and exits.
	PrintVersion
	// PrintHelp prints the usage and exits.
	PrintHelp
)

// Set is the set of settings of one program. Settings are registered at startup by
// one goroutine; it is not safe for concurrent use.
type Set struct {
	daemon   string
	flags    *flag.FlagSet
	settings []*setting
	checks   []func() error
	check    bool
	version  bool
	// file is the path of the settings file; empty if there is none.
	file     string
	warnings []string
}

// setting is one named value, with its text and the source of that text.
type setting struct {
	name        string
	description string
	kind        kind
	rules       []Rule
	defaultText string
	secret      bool
	store       func(text string) error
	value       func() any
	text        string
	source      source
	errs        []*fault.Error
}

// source is the input that a value came from; a higher source overrides a lower one.
type source int

const (
	fromDefault source = iota
	fromFile
	fromEnvironment
	fromFlag
)

// New returns an empty set for the named program.
func New(daemon string) *Set {
	s := &Set{
		daemon: daemon,
		flags:  flag.NewFlagSet(daemon, flag.ContinueOnError),
	}
	s.flags.SetOutput(io.Discard)
	s.flags.Usage = func() {}
	s.flags.BoolVar(&s.check, "check", false, "validate the settings and exit")
	s.flags.BoolVar(&s.version, "version", false, "print the version and exit")
	s.flags.StringVar(&s.file, settingsFileFlag, "", "settings file with one name = value per line; environment and flags override it")
	return s
}

// Daemon returns the name given to New.
func (s *Set) Daemon() string { return s.daemon }

// String registers a string setting.
func (s *Set) String(target *string, name, value, description string, rules ...Rule) {
	*target = value
	s.add(&setting{
		name: name, description: description, kind: kindString, rules: rules, defaultText: value,
		store: func(text string) error { *target = text; return nil },
		value: func() any { return *target },
	})
}

// Secret registers a string setting whose value is never printed. A value that
// starts with "@" is the path of a file that holds the secret, which keeps the
// secret out of the process list. A secret has no default.
func (s *Set) Secret(target *string, name, description string, rules ...Rule) {
	s.add(&setting{
		name: name, description: description, kind: kindSecret, rules: rules, secret: true,
		store: func(text string) error { return readSecret(target, text) },
		value: func() any { return *target },
	})
}

// Bool registers a boolean setting.
func (s *Set) Bool(target *bool, name string, value bool, description string, rules ...Rule) {
	register(s, target, kindBool, name, value, description, parseBool, rules)
}

// Int registers an integer setting.
func (s *Set) Int(target *int, name string, value int, description string, rules ...Rule) {
	register(s, target, kindInt, name, value, description, parseInt, rules)
}

// Float registers a floating-point setting.
func (s *Set) Float(target *float64, name string, value float64, description string, rules ...Rule) {
	register(s, target, kindFloat, name, value, description, parseFloat, rules)
}

// Duration registers a duration such as 250ms or 1m30s.
func (s *Set) Duration(target *time.Duration, name string, value time.Duration, description string, rules ...Rule) {
	register(s, target, kindDuration, name, value, description, time.ParseDuration, rules)
}

// Bytes registers a size such as 64KiB, 8MiB or 2GiB, in bytes.
func (s *Set) Bytes(target *int64, name string, value int64, description string, rules ...Rule) {
	register(s, target, kindBytes, name, value, description, ParseBytes, rules)
}

// List registers a comma-separated list of strings. The flag may be given several
// times; the values are appended.
func (s *Set) List(target *[]string, name string, value []string, description string, rules ...Rule) {
	*target = value
	s.add(&setting{
		name: name, description: description, kind: kindList, rules: rules, defaultText: strings.Join(value, ","),
		store: func(text string) error { *target = splitList(text); return nil },
		value: func() any { return *target },
	})
}

// Check registers a check that involves several settings. It runs after all values
// are stored and should return a *fault.Error that states the remedy, or errors.Join
// of several.
func (s *Set) Check(check func() error) {
	s.checks = append(s.checks, check)
}

// Warnings returns problems that do not prevent a start: environment variables with
// EnvironmentPrefix that this program does not know. They may be meant for another
// program on the same host, or be misspelt.
func (s *Set) Warnings() []string { return s.warnings }

// register adds a setting whose value is converted from text by parse.
func register[T any](s *Set, target *T, k kind, name string, value T, description string, parse func(string) (T, error), rules []Rule) {
	*target = value
	s.add(&setting{
		name: name, description: description, kind: k, rules: rules, defaultText: format(k, value),
		store: func(text string) error {
			parsed, err := parse(text)
			if err != nil {
				return err
			}
			*target = parsed
			return nil
		},
		value: func() any { return *target },
	})
}

// add adds a setting to the set. Registering a name twice is a programming error and
// panics, as in package flag.
func (s *Set) add(entry *setting) {
	entry.text = entry.defaultText
	s.settings = append(s.settings, entry)
	s.flags.Var(&flagValue{entry}, entry.name, entry.description)
}

// environmentName returns the name of the setting's environment variable.
func (e *setting) environmentName() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(e.name, "-", "_"))
}

// flagValue implements flag.Value for a setting. Set never fails: errors are recorded
// in the setting, so that package flag continues parsing.
type flagValue struct{ entry *setting }

// String implements flag.Value.
func (v *flagValue) String() string {
	if v.entry == nil {
		return ""
	}
	return v.entry.printable(v.entry.text)
}

// IsBoolFlag allows a boolean flag without a value.
func (v *flagValue) IsBoolFlag() bool { return v.entry.kind == kindBool }

// Set implements flag.Value.
func (v *flagValue) Set(text string) error {
	v.entry.setFromFlag(text)
	return nil
}
