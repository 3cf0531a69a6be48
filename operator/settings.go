package operator

import (
	"os/user"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
)

const (
	defaultTimeout  = 10 * time.Second
	defaultInterval = time.Second
	defaultHistory  = 20
)

// Settings that may be given without their flags.
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

// Settings of lilackeelctl. Each may be given as a flag or by its environment
// variable, such as LILACKEEL_CONTROL.
type Settings struct {
	// Control are the addresses of the control replicas.
	Control []string
	// Operator names who asks.
	Operator string
	// Timeout bounds a command, but for watch.
	Timeout time.Duration
	// Output is table or json.
	Output string
	// Link proves this program to the replicas.
	Link link.Config
	// File, Intent and Digest are what a command is about. They may also stand
	// after the verb without their flags.
	File, Intent, Digest string
	// Limit is how many intents history lists.
	Limit int
	// Interval is the pause between two looks of watch.
	Interval time.Duration
	// Yes confirms a plan without a second command.
	Yes bool
	// Member is the change that members makes.
	Member MemberChange
	// offline is true for a command that asks no control replica.
	offline bool
}

// MemberChange is at most one change of the voting replicas.
type MemberChange struct {
	// AddLearner, Promote and Remove are replica ids; zero for none.
	AddLearner, Promote, Remove int
	// Addr is the address of the learner.
	Addr string
}

func (c MemberChange) count() int {
	count := 0
	for _, id := range []int{c.AddLearner, c.Promote, c.Remove} {
		if id != 0 {
			count++
		}
	}
	return count
}

// Register adds all settings to set.
func (s *Settings) Register(set *setting.Set) {
	rules := []setting.Rule{setting.HostPort}
	if !s.offline {
		rules = append(rules, setting.Required)
	}
	set.List(&s.Control, "control", nil, "addresses of the control replicas, host:port", rules...)
	set.String(&s.Operator, "operator", loginName(), "name of the operator who asks")
	set.String(&s.File, settingFile, "", "plan, diff: the intent file, - for standard input; -f for short")
	set.String(&s.Intent, settingIntent, "", "confirm, cancel, explain, watch: the id of an intent")
	set.String(&s.Digest, settingDigest, "", "confirm: the digest that the plan shows")
	set.Duration(&s.Timeout, "timeout", defaultTimeout, "longest time for a command, but for watch", setting.Min(time.Millisecond))
	set.String(&s.Output, "output", outputTable, "form of the answer; -o for short", setting.OneOf(outputTable, outputJSON))
	set.Int(&s.Limit, "limit", defaultHistory, "history: how many intents", setting.Min(1))
	set.Duration(&s.Interval, "interval", defaultInterval, "watch: pause between two looks", setting.Min(10*time.Millisecond))
	set.Bool(&s.Yes, "yes", false, "plan: confirm the plan at once, if it has no warnings")
	set.Int(&s.Member.AddLearner, "add-learner", 0, "members: id of a replica to add", setting.Min(0))
	set.String(&s.Member.Addr, "addr", "", "members: address of the added replica", setting.HostPort)
	set.Int(&s.Member.Promote, "promote", 0, "members: id of a learner that shall vote", setting.Min(0))
	set.Int(&s.Member.Remove, "remove", 0, "members: id of a replica to remove", setting.Min(0))
	link.Settings(set, &s.Link)
	set.Check(s.check)
}

// loginName returns the name under which this process runs, or nothing.
func loginName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func (s *Settings) check() error {
	if s.Member.count() > 1 {
		return fault.New(fault.Invalid, "several changes of members are asked for", "change one member at a time")
	}
	if (s.Member.AddLearner != 0) != (s.Member.Addr != "") {
		return fault.New(fault.Invalid, "-add-learner and -addr go together", "give both, or none")
	}
	return nil
}
