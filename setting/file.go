package setting

import (
	"os"
	"strings"

	"github.com/lilackeel/lilackeel/fault"
)

// fileName is the name of the setting that names the file of settings.
const fileName = "settings"

// readFile hands each line of the file of settings to its setting. A line is
// "name = value", with the names of the flags; empty lines and lines that begin
// with # are skipped, and an empty value leaves the setting unset. The
// environment and the flags go before the file.
func (s *Set) readFile() Faults {
	if s.file == "" {
		return nil
	}
	text, err := os.ReadFile(s.file)
	if err != nil {
		return Faults{fault.New(fault.Invalid, "the file of settings cannot be read", "name a readable file with -"+fileName).WithCause(err)}
	}
	byName := make(map[string]*setting, len(s.settings))
	for _, entry := range s.settings {
		byName[entry.name] = entry
	}
	var faults Faults
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		entry, known := byName[name]
		switch {
		case !found:
			faults = append(faults, fault.Newf(fault.Invalid, "write name = value", "line %d of %s has no =", number, s.file))
		case !known:
			faults = append(faults, s.unknownLine(number, name))
		case entry.source == fromFile:
			faults = append(faults, fault.Newf(fault.Invalid, "keep one of them", "line %d of %s gives %s a second time", number, s.file, name))
		case value != "" && entry.source < fromFile:
			entry.text = value
			entry.source = fromFile
		}
	}
	return faults
}

func (s *Set) unknownLine(number int, name string) *fault.Error {
	remedy := "see -help for all settings"
	if near := s.nearest(name); near != "" {
		remedy = "did you mean " + near + "? " + remedy
	}
	return fault.Newf(fault.Invalid, remedy, "line %d of %s names the unknown setting %q", number, s.file, name)
}

// File returns the path of the file of settings, empty for none. It is known
// after Parse.
func (s *Set) File() string { return s.file }
