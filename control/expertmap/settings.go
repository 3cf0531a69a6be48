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
	defaultStep     = 4500 * time.Microsecond
	defaultInterval = 10 * time.Second
	defaultLag      = time.Second
	defaultHold     = 30 * time.Minute
	defaultMoves    = 8
	defaultLoaded   = 0.05
)

// GroupSettings describe one group of ranks in the file of groups.
type GroupSettings struct {
	// Name of the group, as its endpoints announce it.
	Name string `json:"name"`
	// The dimensions of the group.
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	Ranks   int `json:"ranks"`
	Slots   int `json:"slots"`
	// Step is the time of a step, TokenMicros what a token of a layer adds to a
	// rank in microseconds.
	Step        string  `json:"step,omitempty"`
	TokenMicros float64 `json:"tokenMicros"`
	// Interval is the time between two looks at the load.
	Interval string `json:"interval,omitempty"`
	// ExpertBytes is the size of an expert's weights, StoreBytesPerSecond what
	// the weight store delivers to the group.
	ExpertBytes         int64   `json:"expertBytes"`
	StoreBytesPerSecond float64 `json:"storeBytesPerSecond"`
	// Stall is the time that a switch stops the group.
	Stall string `json:"stall,omitempty"`
}

// Groups are the groups that the control replicas look after.
type Groups struct {
	// Shapes are the dimensions of each group, by name.
	Shapes map[string]group.Shape
	// Configs are the settings of each group's balancer, by name.
	Configs map[string]balance.Config
}

// ReadGroups reads the file of groups, strictly.
func ReadGroups(path string) (Groups, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Groups{}, trace.Wrap(trace.ConvertSystemError(err), "cannot read the file of groups %s; correct -groups or the rights of the file", path)
	}
	var file struct {
		Groups []GroupSettings `json:"groups"`
	}
	if err := yaml.UnmarshalStrict(text, &file); err != nil {
		return Groups{}, fault.Newf(fault.Invalid, "correct the file", "%s is not a file of groups", path).Because(err)
	}
	groups := Groups{Shapes: map[string]group.Shape{}, Configs: map[string]balance.Config{}}
	for _, settings := range file.Groups {
		config, err := settings.config()
		if err != nil {
			return Groups{}, trace.Wrap(err, "group %q of %s", settings.Name, path)
		}
		if settings.Name == "" {
			return Groups{}, fault.Newf(fault.Invalid, "give each group a name", "a group of %s has no name", path)
		}
		if _, twice := groups.Shapes[settings.Name]; twice {
			return Groups{}, fault.Newf(fault.Invalid, "give each group a name of its own", "%s names group %q twice", path, settings.Name)
		}
		groups.Shapes[settings.Name] = config.Shape
		groups.Configs[settings.Name] = config
	}
	return groups, nil
}

// config checks the settings.
func (s GroupSettings) config() (balance.Config, error) {
	config := balance.Config{
		Shape:       group.Shape{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks, Slots: s.Slots},
		TokenTime:   s.TokenMicros / float64(time.Second/time.Microsecond),
		Lag:         defaultLag,
		ExpertBytes: s.ExpertBytes,
		StoreRate:   s.StoreBytesPerSecond,
		LoadShare:   defaultLoaded,
		MaxMoves:    defaultMoves,
		MaxLifetime: defaultHold,
	}
	for _, each := range []struct {
		target   *time.Duration
		text     string
		standard time.Duration
	}{
		{&config.StepTime, s.Step, defaultStep},
		{&config.Interval, s.Interval, defaultInterval},
		{&config.Stall, s.Stall, 0},
	} {
		if err := parseDuration(each.target, each.text, each.standard); err != nil {
			return balance.Config{}, err
		}
	}
	return config, config.Validate()
}

func parseDuration(target *time.Duration, text string, standard time.Duration) error {
	*target = standard
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
