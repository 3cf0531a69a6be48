package logspage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Entry is what the page says of one message.
type PageEntry struct {
	// Levels are the levels at which it is logged, Fields what its lines may have
	// besides the common fields.
	Levels, Fields []string
}

// columns is the number of cells in a row of the page.
const columns = 5

// Listed returns the entries of a page, by message. A row is | `message` | levels |
// programs | fields | what it says |.
func ParsePage(page string) map[string]PageEntry {
	entries := map[string]PageEntry{}
	for line := range strings.SplitSeq(page, "\n") {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || !strings.Contains(cells[0], "`") {
			continue
		}
		entries[names(cells[0])[0]] = PageEntry{Levels: names(cells[1]), Fields: names(cells[3])}
	}
	return entries
}

// names returns what stands in backquotes.
func names(cell string) []string {
	found := []string{}
	parts := strings.Split(cell, "`")
	for i := 1; i < len(parts); i += 2 {
		found = append(found, parts[i])
	}
	return found
}

// Declared adds up the events of each message. Open says which messages have
// fields that their calls do not name.
func MergeEvents(events []Event) (entries map[string]PageEntry, open map[string]bool) {
	entries, open = map[string]PageEntry{}, map[string]bool{}
	for _, event := range events {
		entry := entries[event.Message]
		if event.Level != "" {
			entry.Levels = add(entry.Levels, event.Level)
		}
		for _, field := range event.Fields {
			entry.Fields = add(entry.Fields, field)
		}
		entries[event.Message] = entry
		open[event.Message] = open[event.Message] || event.HasUnnamedFields
	}
	return entries, open
}

// add adds a name to a set.
func add(set []string, name string) []string {
	if slices.Contains(set, name) {
		return set
	}
	return append(set, name)
}

// Differences returns what the page and the code do not agree on, a line each.
func Differences(events []Event, listed map[string]PageEntry) []string {
	declared, open := MergeEvents(events)
	var found []string
	for _, message := range slices.Sorted(maps.Keys(declared)) {
		entry, ok := listed[message]
		if !ok {
			found = append(found, fmt.Sprintf("%q is in the code and not on the page", message))
			continue
		}
		if !agree(declared[message].Levels, entry.Levels, open[message]) {
			found = append(found, fmt.Sprintf("%q has the levels %v in the code and %v on the page", message, declared[message].Levels, entry.Levels))
		}
		if !agree(declared[message].Fields, entry.Fields, open[message]) {
			found = append(found, fmt.Sprintf("%q has the fields %v in the code and %v on the page", message, declared[message].Fields, entry.Fields))
		}
	}
	for _, message := range slices.Sorted(maps.Keys(listed)) {
		if _, ok := declared[message]; !ok {
			found = append(found, fmt.Sprintf("%q is on the page and not in the code", message))
		}
	}
	return found
}

// agree reports whether the page lists what the code declares, and no more unless
// the code leaves more open.
func agree(declared, listed []string, open bool) bool {
	for _, name := range declared {
		if !slices.Contains(listed, name) {
			return false
		}
	}
	return open || len(declared) == len(listed)
}
