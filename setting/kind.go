package setting

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

// kind is the type of a setting's value.
type kind string

const (
	kindString   kind = "text"
	kindSecret   kind = "secret"
	kindBool     kind = "on or off"
	kindInt      kind = "whole number"
	kindFloat    kind = "number"
	kindDuration kind = "duration"
	kindBytes    kind = "size"
	kindList     kind = "list"
)

// redacted replaces the value of a secret in output.
const redacted = "[redacted]"

// example describes a well-formed value, for the remedy of a malformed one.
func (k kind) example() string {
	switch k {
	case kindBool:
		return "true or false"
	case kindInt:
		return "a whole number such as 16"
	case kindFloat:
		return "a number such as 0.25"
	case kindDuration:
		return "a duration with its unit, such as 250ms, 5s or 2m"
	case kindBytes:
		return "a size such as 65536, 64KiB or 8MiB"
	default:
		return "text"
	}
}

// byteUnit is the suffix of a size and the number of bytes in the unit.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits has "B" last, because it is a suffix of the other units; ParseBytes tries
// the units in this order.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseBytes parses a size: a whole number, with one of the units B, KiB, MiB, GiB
// and TiB or without a unit, which means bytes.
func ParseBytes(text string) (int64, error) {
	factor := int64(1)
	number := text
	for _, unit := range byteUnits {
		if head, found := strings.CutSuffix(text, unit.suffix); found {
			number, factor = head, unit.bytes
			break
		}
	}
	value, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, err
	}
	if value > math.MaxInt64/factor || value < math.MinInt64/factor {
		return 0, strconv.ErrRange
	}
	return value * factor, nil
}

// FormatBytes formats a size with the largest unit that divides it.
func FormatBytes(size int64) string {
	for _, unit := range byteUnits {
		if unit.bytes > 1 && size != 0 && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(size, 10)
}

func parseBool(text string) (bool, error) { return strconv.ParseBool(text) }

func parseInt(text string) (int, error) { return strconv.Atoi(text) }

// parseFloat rejects NaN and infinities: no setting has a use for them, and rules
// need not consider them.
func parseFloat(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, strconv.ErrRange
	}
	return value, nil
}

// splitList splits a list at its commas and drops empty items.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// readSecret stores a secret. If text is "@" followed by a path, the secret is read
// from that file.
func readSecret(target *string, text string) error {
	path, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		*target = text
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	*target = strings.TrimSpace(string(content))
	return nil
}

// format formats a default value as it would be written in a flag.
func format(k kind, value any) string {
	switch typed := value.(type) {
	case int64:
		if k == kindBytes {
			return FormatBytes(typed)
		}
	case time.Duration:
		return formatDuration(typed)
	}
	return fmt.Sprint(value)
}

// formatDuration formats a duration without trailing zero minutes and seconds.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
