package setting

import (
	"os"
	"strings"

	"github.com/lilackeel/lilackeel/fault"
)

// settingsFileFlag is the name of the setting that holds the path of the settings file.
const settingsFileFlag = "settings"

// readFile assigns each line of the settings file to its setting. A line has the
// form "name = value", with the names of the flags. Empty lines and lines that begin
// with # are skipped, and an empty value leaves the setting unset. The environment
// and the flags override the file.
func (s *Set) readFile() Errors {
	if s.file == "" {
		return nil
	}
	text, err := os.ReadFile(s.file)
	if err != nil {
		return Errors{fault.New(fault.Invalid, "the settings file cannot be read", "name a readable file with -"+settingsFileFlag).WithCause(err)}
	}
	byName := make(map[string]*setting, len(s.settings))
	for _, entry := range s.settings {
		byName[entry.name] = entry
	}
	var errs Errors
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
			errs = append(errs, fault.Newf(fault.Invalid, "write name = value", "line %d of %s has no =", number, s.file))
		case !known:
			errs = append(errs, s.unknownSettingError(number, name))
		case entry.source == fromFile:
			errs = append(errs, fault.Newf(fault.Invalid, "keep one of them", "line %d of %s sets %s a second time", number, s.file, name))
		case value != "" && entry.source < fromFile:
			entry.text = value
			entry.source = fromFile
		}
	}
	return errs
}

func (s *Set) unknownSettingError(number int, name string) *fault.Error {
	remedy := "see -help for all settings"
	if near := s.closestName(name); near != "" {
		remedy = "did you mean " + near + "? " + remedy
	}
	return fault.Newf(fault.Invalid, remedy, "line %d of %s names the unknown setting %q", number, s.file, name)
}

// File returns the path of the settings file; it is empty if there is none. It is
// available after Parse.
func (s *Set) File() string { return s.file }
