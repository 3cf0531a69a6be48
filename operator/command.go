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

// program is the name of the tool.
const program = "lilackeelctl"

// command is one verb of the tool.
type command struct {
	name string
	// arguments are the settings that may follow the verb without their flags.
	arguments []string
	// optional marks that the arguments may be left out.
	optional bool
	summary  string
	run      func(s *session, ctx context.Context) error
	// unbounded commands run until they are interrupted.
	unbounded bool
	// offline commands ask no control replica.
	offline bool
}

var commands = []command{
	{name: "plan", arguments: []string{settingFile}, run: (*session).plan, summary: "state the intent in a file and show what it would change"},
	{name: "confirm", arguments: []string{settingIntent, settingDigest}, run: (*session).confirm, summary: "accept a plan by its digest"},
	{name: "cancel", arguments: []string{settingIntent}, run: (*session).cancel, summary: "withdraw an intent that is not confirmed"},
	{name: "status", run: (*session).status, summary: "show the replicas, the daemons and what open intents wait for"},
	{name: "diff", arguments: []string{settingFile}, run: (*session).diff, summary: "show what the intent in a file would change, without stating it"},
	{name: "history", run: (*session).history, summary: "list intents, newest first"},
	{name: "explain", arguments: []string{settingIntent}, run: (*session).explain, summary: "show an intent, its plan, how far it has come and why"},
	{name: "watch", arguments: []string{settingIntent}, optional: true, unbounded: true, run: (*session).watch, summary: "follow the status, or one intent until it is carried out"},
	{name: "config", run: (*session).config, summary: "show the accepted configuration"},
	{name: "explain-request", arguments: []string{settingIntent, settingFile}, offline: true, run: (*session).story, summary: "tell the story of a request from the daemons' logs, files separated by commas"},
	{name: "summary", arguments: []string{settingFile}, offline: true, run: (*session).summarise, summary: "count what became of requests by time, pool and cause, from the daemons' logs"},
	{name: "members", run: (*session).members, summary: "list the control replicas, or change one"},
}

// session is one run of one command.
type session struct {
	settings Settings
	client   *Client
	stdin    io.Reader
	stdout   io.Writer
}

// Run carries out one command line (without the program's name) and returns its
// exit code.
func Run(ctx context.Context, args, environ []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return withoutVerb(args, environ, stdout, stderr)
	}
	verb := findCommand(args[0])
	if verb == nil {
		return usage(stderr, fmt.Sprintf("there is no command %q", args[0]))
	}
	flags, ok := verb.flags(args[1:])
	if !ok {
		return usage(stderr, "write "+verb.synopsis())
	}
	s := &session{stdin: stdin, stdout: stdout}
	s.settings.offline = verb.offline
	set := setting.New(program)
	s.settings.Register(set)
	if code, done := set.Main(flags, environ, stdout, stderr); done {
		return min(code, ExitUsage)
	}
	if !verb.complete(&s.settings) {
		return usage(stderr, "write "+verb.synopsis())
	}
	options, err := link.DialOptions(s.settings.Link)
	if err != nil {
		return report(stderr, s.settings.Output, err)
	}
	pool := link.NewPool(options...)
	defer pool.Close()
	s.client = NewClient(s.settings.Control, pool)
	if !verb.unbounded {
		bounded, cancel := context.WithTimeout(ctx, s.settings.Timeout)
		defer cancel()
		ctx = bounded
	}
	return report(stderr, s.settings.Output, verb.run(s, ctx))
}

// withoutVerb handles -help and -version, and a command line without a verb.
func withoutVerb(args, environ []string, stdout, stderr io.Writer) int {
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
	return usage(stderr, "a command is missing")
}

func usage(stderr io.Writer, problem string) int {
	fmt.Fprintf(stderr, "%s: %s\n\n", program, problem)
	printCommands(stderr)
	return ExitUsage
}

func printCommands(w io.Writer) {
	fmt.Fprintf(w, "Commands (flags follow; %s -help lists them):\n", program)
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

// flags turns what stands after the verb into flags: arguments come first and
// have none. It returns false if there are too many arguments.
func (c *command) flags(args []string) (flags []string, ok bool) {
	for i, arg := range args {
		if strings.HasPrefix(arg, "-") && arg != standardInput {
			return append(flags, longNames(args[i:])...), true
		}
		if i == len(c.arguments) {
			return nil, false
		}
		flags = append(flags, "-"+c.arguments[i]+"="+arg)
	}
	return flags, true
}

// complete reports whether all that the command is about is given.
func (c *command) complete(settings *Settings) bool {
	given := map[string]string{
		settingFile: settings.File, settingIntent: settings.Intent, settingDigest: settings.Digest,
	}
	for _, name := range c.arguments {
		if given[name] == "" && !c.optional {
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

// shortNames are the flags that have a short form.
var shortNames = map[string]string{"o": "output", "f": settingFile}

// longNames writes out short forms of flags.
func longNames(flags []string) []string {
	long := make([]string, len(flags))
	for i, each := range flags {
		long[i] = each
		name, value, hasValue := strings.Cut(strings.TrimPrefix(each, "-"), "=")
		full := shortNames[name]
		if full == "" || !strings.HasPrefix(each, "-") {
			continue
		}
		long[i] = "-" + full
		if hasValue {
			long[i] += "=" + value
		}
	}
	return long
}

// report prints an error for people or programs and returns its exit code.
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

// print writes a message as JSON if asked to, or else by the table function.
func (s *session) print(message proto.Message, table func(io.Writer)) error {
	if s.settings.Output != outputJSON {
		table(s.stdout)
		return nil
	}
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return fault.New(fault.Internal, "the answer cannot be written as JSON", "report this defect").WithCause(err)
	}
	fmt.Fprintf(s.stdout, "%s\n", data)
	return nil
}
