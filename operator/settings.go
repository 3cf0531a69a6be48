package operator

import (
	"os/user"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
)

const (
	defaultTimeout      = 10 * time.Second
	defaultInterval     = time.Second
	defaultHistoryLimit = 20
)

// Names of the settings that may be given as positional arguments.
const (
	settingFile   = "file"
	settingIntent = "id"
	settingDigest = "digest"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Settings are the settings of lilackeelctl. Each may be given as a flag or by its
// environment variable, such as LILACKEEL_CONTROL.
type Settings struct {
	// Control are the addresses of the control replicas.
	Control []string
	// Operator is the name of the operator who issues the command.
	Operator string
	// Timeout bounds every command except watch.
	Timeout time.Duration
	// Output is table or json.
	Output string
	// Link configures the connections to the replicas, including the credentials.
	Link link.Config
	// File, Intent and Digest are the arguments of a command. They may also be given
	// as positional arguments.
	File, Intent, Digest string
	// Limit is the maximum number of intents that history lists.
	Limit int
	// Interval is the polling interval of watch.
	Interval time.Duration
	// Yes makes plan confirm a plan that has no warnings.
	Yes bool
	// Member is the membership change that the members command makes.
	Member MemberChange
	// offline is true for a command that does not contact the control replicas.
	offline bool
}

// MemberChange is a change of the control replicas; at most one of its ids may be set.
type MemberChange struct {
	// AddLearner, Promote and Remove are replica ids; zero for none.
	AddLearner, Promote, Remove int
	// Addr is the address of the learner.
	Addr string
}

func (c MemberChange) changeCount() int {
	count := 0
	for _, id := range []int{c.AddLearner, c.Promote, c.Remove} {
		if id != 0 {
			count++
		}
	}
	return count
}

// Register registers all settings with set.
func (s *Settings) Register(set *setting.Set) {
	rules := []setting.Rule{setting.HostPort}
	if !s.offline {
		rules = append(rules, setting.Required)
	}
	set.List(&s.Control, "control", nil, "addresses of the control replicas, host:port", rules...)
	set.String(&s.Operator, "operator", loginName(), "name of the operator who issues the command")
	set.String(&s.File, settingFile, "", "plan, diff: the intent file, - for standard input; -f for short")
	set.String(&s.Intent, settingIntent, "", "confirm, cancel, explain, watch: the id of an intent")
	set.String(&s.Digest, settingDigest, "", "confirm: the digest that the plan shows")
	set.Duration(&s.Timeout, "timeout", defaultTimeout, "time limit of a command, except watch", setting.Min(time.Millisecond))
	set.String(&s.Output, "output", outputTable, "output format; -o for short", setting.OneOf(outputTable, outputJSON))
	set.Int(&s.Limit, "limit", defaultHistoryLimit, "history: maximum number of intents", setting.Min(1))
	set.Duration(&s.Interval, "interval", defaultInterval, "watch: polling interval", setting.Min(10*time.Millisecond))
	set.Bool(&s.Yes, "yes", false, "plan: confirm the plan immediately if it has no warnings")
	set.Int(&s.Member.AddLearner, "add-learner", 0, "members: id of the replica to add as a learner", setting.Min(0))
	set.String(&s.Member.Addr, "addr", "", "members: address of the added replica", setting.HostPort)
	set.Int(&s.Member.Promote, "promote", 0, "members: id of the learner to promote to voter", setting.Min(0))
	set.Int(&s.Member.Remove, "remove", 0, "members: id of the replica to remove", setting.Min(0))
	link.Settings(set, &s.Link)
	set.Check(s.check)
}

// loginName returns the name of the user that runs this process; it is empty if it is
// unknown.
func loginName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func (s *Settings) check() error {
	if s.Member.changeCount() > 1 {
		return fault.New(fault.Invalid, "more than one membership change is requested", "change one member at a time")
	}
	if (s.Member.AddLearner != 0) != (s.Member.Addr != "") {
		return fault.New(fault.Invalid, "-add-learner and -addr require each other", "give both or neither")
	}
	return nil
}
