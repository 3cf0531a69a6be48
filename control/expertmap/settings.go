package expertmap

import (
	"os"
	"time"

	"github.com/gravitational/trace"
	"sigs.k8s.io/yaml"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

// Defaults of a group's settings.
const (
	defaultStepTime    = 4500 * time.Microsecond
	defaultInterval    = 10 * time.Second
	defaultLag         = time.Second
	defaultMaxLifetime = 30 * time.Minute
	defaultMaxMoves    = 8
	defaultLoadShare   = 0.05
)

// GroupSettings are the settings of one group of ranks in the groups file.
type GroupSettings struct {
	// Name is the name of the group, as announced by its endpoints.
	Name string `json:"name"`
	// Layers, Experts, Ranks and Slots are the dimensions of the group.
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	Ranks   int `json:"ranks"`
	Slots   int `json:"slots"`
	// Step is the duration of a step. TokenMicros is the time that a token adds to a rank's
	// work in one layer, in microseconds.
	Step        string  `json:"step,omitempty"`
	TokenMicros float64 `json:"tokenMicros"`
	// Interval is the time between two balancing decisions.
	Interval string `json:"interval,omitempty"`
	// ExpertBytes is the size of an expert's weights. StoreBytesPerSecond is the rate at which
	// the weight store delivers weights to the group.
	ExpertBytes         int64   `json:"expertBytes"`
	StoreBytesPerSecond float64 `json:"storeBytesPerSecond"`
	// Stall is how long a switch stops the group.
	Stall string `json:"stall,omitempty"`
}

// Groups are the groups of ranks in the groups file.
type Groups struct {
	// Shapes are the dimensions of each group, by name.
	Shapes map[string]group.Shape
	// Configs are the balancer configurations of the groups, by name.
	Configs map[string]balance.Config
}

// ReadGroups reads the groups file; unknown fields are errors.
func ReadGroups(path string) (Groups, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Groups{}, trace.Wrap(trace.ConvertSystemError(err), "cannot read the groups file %s; correct -groups or the permissions of the file", path)
	}
	var file struct {
		Groups []GroupSettings `json:"groups"`
	}
	if err := yaml.UnmarshalStrict(text, &file); err != nil {
		return Groups{}, fault.Newf(fault.Invalid, "correct the file", "%s is not a valid groups file", path).WithCause(err)
	}
	groups := Groups{Shapes: map[string]group.Shape{}, Configs: map[string]balance.Config{}}
	for _, settings := range file.Groups {
		config, err := settings.config()
		if err != nil {
			return Groups{}, trace.Wrap(err, "group %q in %s", settings.Name, path)
		}
		if settings.Name == "" {
			return Groups{}, fault.Newf(fault.Invalid, "give each group a name", "a group in %s has no name", path)
		}
		if _, duplicate := groups.Shapes[settings.Name]; duplicate {
			return Groups{}, fault.Newf(fault.Invalid, "give each group a unique name", "%s lists group %q twice", path, settings.Name)
		}
		groups.Shapes[settings.Name] = config.Shape
		groups.Configs[settings.Name] = config
	}
	return groups, nil
}

// config validates the settings and returns the balancer configuration.
func (s GroupSettings) config() (balance.Config, error) {
	config := balance.Config{
		Shape:       group.Shape{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks, Slots: s.Slots},
		TokenTime:   s.TokenMicros / float64(time.Second/time.Microsecond),
		Lag:         defaultLag,
		ExpertBytes: s.ExpertBytes,
		StoreRate:   s.StoreBytesPerSecond,
		LoadShare:   defaultLoadShare,
		MaxMoves:    defaultMaxMoves,
		MaxLifetime: defaultMaxLifetime,
	}
	for _, field := range []struct {
		target   *time.Duration
		text     string
		standard time.Duration
	}{
		{&config.StepTime, s.Step, defaultStepTime},
		{&config.Interval, s.Interval, defaultInterval},
		{&config.Stall, s.Stall, 0},
	} {
		if err := parseDuration(field.target, field.text, field.standard); err != nil {
			return balance.Config{}, err
		}
	}
	return config, config.Validate()
}

func parseDuration(target *time.Duration, text string, defaultValue time.Duration) error {
	*target = defaultValue
	if text == "" {
		return nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fault.Newf(fault.Invalid, "write a duration such as 4500us or 10s", "malformed duration %q", text)
	}
	*target = parsed
	return nil
}
