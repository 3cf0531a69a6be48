package setting

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// EnvironmentPrefix starts the name of every environment variable that the
// daemons read.
const EnvironmentPrefix = "LILACKEEL_"

// Action is what the command line asks the daemon to do.
type Action int

// The actions. Run is the zero value.
const (
	// Run starts the daemon.
	Run Action = iota
	// CheckOnly validates the settings and exits.
	CheckOnly
	// PrintVersion prints the version and exits.
	PrintVersion
	// PrintHelp prints the settings and exits.
	PrintHelp
)

// Set is the collection of settings of one daemon. It is filled once at start
// by one goroutine and is not safe for concurrent use.
type Set struct {
	daemon   string
	flags    *flag.FlagSet
	settings []*setting
	checks   []func() error
	check    bool
	version  bool
	// file is the path of the file of settings, empty for none.
	file     string
	warnings []string
}

// setting is one named value and where its text came from.
type setting struct {
	name        string
	description string
	kind        kind
	rules       []Rule
	defaultText string
	secret      bool
	store       func(text string) error
	current     func() any
	text        string
	source      source
	faults      []*fault.Error
}

// source says which input a value came from; a higher source wins.
type source int

const (
	fromDefault source = iota
	fromFile
	fromEnvironment
	fromFlag
)

// New returns an empty set for the named daemon.
func New(daemon string) *Set {
	s := &Set{
		daemon: daemon,
		flags:  flag.NewFlagSet(daemon, flag.ContinueOnError),
	}
	s.flags.SetOutput(io.Discard)
	s.flags.Usage = func() {}
	s.flags.BoolVar(&s.check, "check", false, "validate the settings and exit")
	s.flags.BoolVar(&s.version, "version", false, "print the version and exit")
	s.flags.StringVar(&s.file, fileName, "", "file of settings, a line of name = value each; environment and flags go first")
	return s
}

// Daemon returns the name given to New.
func (s *Set) Daemon() string { return s.daemon }

// String registers a text setting.
func (s *Set) String(target *string, name, value, description string, rules ...Rule) {
	*target = value
	s.add(&setting{
		name: name, description: description, kind: kindString, rules: rules, defaultText: value,
		store:   func(text string) error { *target = text; return nil },
		current: func() any { return *target },
	})
}

// Secret registers a text setting whose value is never printed. A value that
// starts with "@" names a file that holds the secret, which keeps the secret
// out of the process list. A secret has no default.
func (s *Set) Secret(target *string, name, description string, rules ...Rule) {
	s.add(&setting{
		name: name, description: description, kind: kindSecret, rules: rules, secret: true,
		store:   func(text string) error { return readSecret(target, text) },
		current: func() any { return *target },
	})
}

// Bool registers a setting that is on or off.
func (s *Set) Bool(target *bool, name string, value bool, description string, rules ...Rule) {
	register(s, target, kindBool, name, value, description, parseBool, rules)
}

// Int registers a whole number.
func (s *Set) Int(target *int, name string, value int, description string, rules ...Rule) {
	register(s, target, kindInt, name, value, description, parseInt, rules)
}

// Float registers a number.
func (s *Set) Float(target *float64, name string, value float64, description string, rules ...Rule) {
	register(s, target, kindFloat, name, value, description, parseFloat, rules)
}

// Duration registers a length of time such as 250ms or 1m30s.
func (s *Set) Duration(target *time.Duration, name string, value time.Duration, description string, rules ...Rule) {
	register(s, target, kindDuration, name, value, description, time.ParseDuration, rules)
}

// Bytes registers a size such as 64KiB, 8MiB or 2GiB, in bytes.
func (s *Set) Bytes(target *int64, name string, value int64, description string, rules ...Rule) {
	register(s, target, kindBytes, name, value, description, ParseBytes, rules)
}

// List registers a list of texts, separated by commas. The flag may be given
// several times; its values then add up.
func (s *Set) List(target *[]string, name string, value []string, description string, rules ...Rule) {
	*target = value
	s.add(&setting{
		name: name, description: description, kind: kindList, rules: rules, defaultText: strings.Join(value, ","),
		store:   func(text string) error { *target = splitList(text); return nil },
		current: func() any { return *target },
	})
}

// Check registers a test of several settings together. It runs after all
// values are stored and should return a *fault.Error that names the remedy, or
// errors.Join of several.
func (s *Set) Check(check func() error) {
	s.checks = append(s.checks, check)
}

// Warnings returns remarks that do not stop the start: environment variables
// with the prefix of the daemons that this daemon does not know. They may be
// meant for another daemon of the same host, or be misspelt.
func (s *Set) Warnings() []string { return s.warnings }

// register adds a setting of a type that is parsed from its text.
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
		current: func() any { return *target },
	})
}

// add puts a setting in the set. A name registered twice is a defect of the
// daemon and panics, as package flag does.
func (s *Set) add(entry *setting) {
	entry.text = entry.defaultText
	s.settings = append(s.settings, entry)
	s.flags.Var(&flagValue{entry}, entry.name, entry.description)
}

// environmentName returns the environment variable of the setting.
func (e *setting) environmentName() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(e.name, "-", "_"))
}

// flagValue makes a setting a flag.Value. Set never fails: a malformed value is
// kept as a fault of the setting, so that package flag goes on parsing.
type flagValue struct{ entry *setting }

// String implements flag.Value.
func (v *flagValue) String() string {
	if v.entry == nil {
		return ""
	}
	return v.entry.printable(v.entry.text)
}

// IsBoolFlag lets a switch stand without a value.
func (v *flagValue) IsBoolFlag() bool { return v.entry.kind == kindBool }

// Set implements flag.Value.
func (v *flagValue) Set(text string) error {
	v.entry.setFromFlag(text)
	return nil
}
