package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
)

// program is the name of the command-line tool.
const program = "lilackeelctl"

// command is a subcommand of the tool.
type command struct {
	name string
	// arguments are the names of the settings that may be given as positional arguments.
	arguments []string
	// optional is true if the arguments may be omitted.
	optional bool
	summary  string
	run      func(s *session, ctx context.Context) error
	// unbounded is true for a command that has no time limit.
	unbounded bool
	// offline is true for a command that does not contact the control replicas.
	offline bool
}

var commands = []command{
	{name: "plan", arguments: []string{settingFile}, run: (*session).plan, summary: "submit the intent in a file and show what it would change"},
	{name: "confirm", arguments: []string{settingIntent, settingDigest}, run: (*session).confirm, summary: "accept a plan by its digest"},
	{name: "cancel", arguments: []string{settingIntent}, run: (*session).cancel, summary: "withdraw an intent that is not confirmed"},
	{name: "status", run: (*session).status, summary: "show the replicas, the daemons and what open intents wait for"},
	{name: "diff", arguments: []string{settingFile}, run: (*session).diff, summary: "show what the intent in a file would change, without submitting it"},
	{name: "history", run: (*session).history, summary: "list intents, newest first"},
	{name: "explain", arguments: []string{settingIntent}, run: (*session).explain, summary: "show an intent, its plan, its progress and what it waits for"},
	{name: "watch", arguments: []string{settingIntent}, optional: true, unbounded: true, run: (*session).watch, summary: "follow the status, or one intent until it is done"},
	{name: "config", run: (*session).config, summary: "show the accepted configuration"},
	{name: "explain-request", arguments: []string{settingIntent, settingFile}, offline: true, run: (*session).explainRequest, summary: "show what happened to a request, from the daemons' logs (files separated by commas)"},
	{name: "summary", arguments: []string{settingFile}, offline: true, run: (*session).summarizeLogs, summary: "count the outcomes of requests by time, pool and cause, from the daemons' logs (files separated by commas)"},
	{name: "members", run: (*session).members, summary: "list the control replicas, or change one"},
}

// session is one execution of a command.
type session struct {
	settings Settings
	client   *Client
	stdin    io.Reader
	stdout   io.Writer
}

// Run executes one command line (without the program name) and returns its exit code.
func Run(ctx context.Context, args, environ []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return runWithoutCommand(args, environ, stdout, stderr)
	}
	cmd := findCommand(args[0])
	if cmd == nil {
		return usage(stderr, fmt.Sprintf("unknown command %q", args[0]))
	}
	flags, ok := cmd.expandArguments(args[1:])
	if !ok {
		return usage(stderr, "too many arguments: use "+cmd.synopsis())
	}
	s := &session{stdin: stdin, stdout: stdout}
	s.settings.offline = cmd.offline
	set := setting.New(program)
	s.settings.Register(set)
	if code, done := set.Main(flags, environ, stdout, stderr); done {
		return min(code, ExitUsage)
	}
	if !cmd.hasRequiredArguments(&s.settings) {
		return usage(stderr, "missing argument: use "+cmd.synopsis())
	}
	options, err := link.DialOptions(s.settings.Link)
	if err != nil {
		return report(stderr, s.settings.Output, err)
	}
	pool := link.NewPool(options...)
	defer pool.Close()
	s.client = NewClient(s.settings.Control, pool)
	if !cmd.unbounded {
		bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout)
		defer cancel()
		ctx = bounded
	}
	return report(stderr, s.settings.Output, cmd.run(s, ctx))
}

// runWithoutCommand handles -help, -version and a missing command.
func runWithoutCommand(args, environ []string, stdout, stderr io.Writer) int {
	var settings Settings
	set := setting.New(program)
	settings.Register(set)
	action, _ := set.Parse(args, environ)
	switch action {
	case setting.PrintVersion:
		fmt.Fprintln(stdout, program, setting.Version())
		return ExitOK
	case setting.PrintHelp:
		printCommands(stdout)
		set.Usage(stdout)
		return ExitOK
	}
	return usage(stderr, "no command given")
}

func usage(stderr io.Writer, problem string) int {
	fmt.Fprintf(stderr, "%s: %s\n\n", program, problem)
	printCommands(stderr)
	return ExitUsage
}

func printCommands(w io.Writer) {
	fmt.Fprintf(w, "Commands (flags come last; %s -help lists them):\n", program)
	for i := range commands {
		fmt.Fprintf(w, "  %s\n        %s\n", commands[i].synopsis(), commands[i].summary)
	}
	fmt.Fprint(w, "\nExit codes: 0 done, 1 usage, 2 invalid, 3 conflict, 4 unavailable, 5 unknown\n\n")
}

func (c *command) synopsis() string {
	text := program + " " + c.name
	for _, name := range c.arguments {
		argument := " " + strings.ToUpper(name)
		if c.optional {
			argument = " [" + strings.ToUpper(name) + "]"
		}
		text += argument
	}
	return text
}

// expandArguments converts the positional arguments, which come first, to flags. It
// returns false if there are too many.
func (c *command) expandArguments(args []string) (flags []string, ok bool) {
	for i, arg := range args {
		if strings.HasPrefix(arg, "-") && arg != standardInput {
			return append(flags, expandShortFlags(args[i:])...), true
		}
		if i == len(c.arguments) {
			return nil, false
		}
		flags = append(flags, "-"+c.arguments[i]+"="+arg)
	}
	return flags, true
}

// hasRequiredArguments reports whether all required arguments of the command are set.
func (c *command) hasRequiredArguments(settings *Settings) bool {
	values := map[string]string{
		settingFile: settings.File, settingIntent: settings.Intent, settingDigest: settings.Digest,
	}
	for _, name := range c.arguments {
		if values[name] == "" && !c.optional {
			return false
		}
	}
	return true
}

func findCommand(name string) *command {
	for i := range commands {
		if commands[i].name == name {
			return &commands[i]
		}
	}
	return nil
}

// shortFlags maps the short forms of flags to their full names.
var shortFlags = map[string]string{"o": "output", "f": settingFile}

// expandShortFlags replaces the short forms of flags by their full names.
func expandShortFlags(flags []string) []string {
	long := make([]string, len(flags))
	for i, arg := range flags {
		long[i] = arg
		name, value, hasValue := strings.Cut(strings.TrimPrefix(arg, "-"), "=")
		longName := shortFlags[name]
		if longName == "" || !strings.HasPrefix(arg, "-") {
			continue
		}
		long[i] = "-" + longName
		if hasValue {
			long[i] += "=" + value
		}
	}
	return long
}

// report prints an error in the output format and returns its exit code.
func report(stderr io.Writer, output string, err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, context.Canceled) && fault.As(err) == nil {
		return ExitOK
	}
	if output == outputJSON {
		writeJSON(stderr, errorJSON(err))
	} else {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
	}
	return ExitCode(err)
}

// print writes message as JSON if the output format is JSON, and calls table otherwise.
func (s *session) print(message proto.Message, table func(io.Writer)) error {
	if s.settings.Output != outputJSON {
		table(s.stdout)
		return nil
	}
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return fault.New(fault.Internal, "the response cannot be encoded as JSON", "report this as a bug").WithCause(err)
	}
	fmt.Fprintf(s.stdout, "%s\n", data)
	return nil
}
