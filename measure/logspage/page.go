package logspage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// PageEntry is the documentation of one message.
type PageEntry struct {
	// Levels are the levels at which the message is logged, Fields the fields that
	// it may have in addition to the common fields.
	Levels, Fields []string
}

// columns is the number of columns of the tables of the page.
const columns = 5

// ParsePage returns the entries of the tables of a page, by message. The columns are
// message, levels, programs, fields and description.
func ParsePage(page string) map[string]PageEntry {
	entries := map[string]PageEntry{}
	for line := range strings.SplitSeq(page, "\n") {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || !strings.Contains(cells[0], "`") {
			continue
		}
		entries[quotedNames(cells[0])[0]] = PageEntry{Levels: quotedNames(cells[1]), Fields: quotedNames(cells[3])}
	}
	return entries
}

// quotedNames returns the names in backquotes in a cell.
func quotedNames(cell string) []string {
	found := []string{}
	parts := strings.Split(cell, "`")
	for i := 1; i < len(parts); i += 2 {
		found = append(found, parts[i])
	}
	return found
}

// MergeEvents merges the events of each message into one entry. hasUnnamed reports
// for each message whether its calls may add fields that they do not name.
func MergeEvents(events []Event) (entries map[string]PageEntry, hasUnnamed map[string]bool) {
	entries, hasUnnamed = map[string]PageEntry{}, map[string]bool{}
	for _, event := range events {
		entry := entries[event.Message]
		if event.Level != "" {
			entry.Levels = addUnique(entry.Levels, event.Level)
		}
		for _, field := range event.Fields {
			entry.Fields = addUnique(entry.Fields, field)
		}
		entries[event.Message] = entry
		hasUnnamed[event.Message] = hasUnnamed[event.Message] || event.HasUnnamedFields
	}
	return entries, hasUnnamed
}

// addUnique appends name to set unless it is already there.
func addUnique(set []string, name string) []string {
	if slices.Contains(set, name) {
		return set
	}
	return append(set, name)
}

// Differences describes the differences between the code and the page, one per
// element.
func Differences(events []Event, documented map[string]PageEntry) []string {
	logged, hasUnnamed := MergeEvents(events)
	var differences []string
	for _, message := range slices.Sorted(maps.Keys(logged)) {
		entry, ok := documented[message]
		if !ok {
			differences = append(differences, fmt.Sprintf("%q is in the code and not on the page", message))
			continue
		}
		if !matches(logged[message].Levels, entry.Levels, hasUnnamed[message]) {
			differences = append(differences, fmt.Sprintf("%q has the levels %v in the code and %v on the page", message, logged[message].Levels, entry.Levels))
		}
		if !matches(logged[message].Fields, entry.Fields, hasUnnamed[message]) {
			differences = append(differences, fmt.Sprintf("%q has the fields %v in the code and %v on the page", message, logged[message].Fields, entry.Fields))
		}
	}
	for _, message := range slices.Sorted(maps.Keys(documented)) {
		if _, ok := logged[message]; !ok {
			differences = append(differences, fmt.Sprintf("%q is on the page and not in the code", message))
		}
	}
	return differences
}

// matches reports whether all logged names are documented, and no others unless
// allowMore is set.
func matches(logged, documented []string, allowMore bool) bool {
	for _, name := range logged {
		if !slices.Contains(documented, name) {
			return false
		}
	}
	return allowMore || len(logged) == len(documented)
}
