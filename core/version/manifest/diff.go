package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Change is one difference between two manifests.
type Change struct {
	// Path is the place in the manifest, such as "customers/press-a".
	Path string
	// Description describes the change to the operator.
	Description string
}

// Diff returns the changes from old to next, grouped by section and sorted by
// name.
func Diff(old, next *Manifest) []Change {
	var changes []Change
	if old.Version != next.Version {
		changes = append(changes, Change{"version", fmt.Sprintf("The version goes from %d to %d.", old.Version, next.Version)})
	}
	changes = append(changes, structChange("fleet", old.Fleet, next.Fleet)...)
	changes = append(changes, structChange("policy", old.Policy, next.Policy)...)
	changes = append(changes, sectionChanges("models", "model", old.Models, next.Models, func(m Model) string { return string(m.Name) })...)
	changes = append(changes, sectionChanges("services", "service", old.Services, next.Services, func(s Service) string { return string(s.Name) })...)
	changes = append(changes, sectionChanges("customers", "customer", old.Customers, next.Customers, func(c Customer) string { return string(c.Name) })...)
	changes = append(changes, sectionChanges("targets", "target", old.Targets, next.Targets, func(t Target) string { return string(t.Name) })...)
	changes = append(changes, sectionChanges("departures", "departure of target", old.Departures, next.Departures, func(d Departure) string { return string(d.Target) })...)
	return changes
}

// structChange returns the change of a section that is a single struct, or nil
// if its fields are equal.
func structChange[T any](path string, old, next T) []Change {
	fields := fieldChanges(old, next)
	if len(fields) == 0 {
		return nil
	}
	return []Change{{path, "The " + path + " changes: " + strings.Join(fields, "; ") + "."}}
}

// sectionChanges returns the changes of a section that is a list. Entries are
// matched by name.
func sectionChanges[T any](path, noun string, old, next []T, name func(T) string) []Change {
	before, after := mapByName(old, name), mapByName(next, name)
	var changes []Change
	for _, key := range unionKeys(before, after) {
		oldItem, inOld := before[key]
		nextItem, inNext := after[key]
		itemPath := path + "/" + key
		switch {
		case !inOld:
			changes = append(changes, Change{itemPath, fmt.Sprintf("The %s %q is added.", noun, key)})
		case !inNext:
			changes = append(changes, Change{itemPath, fmt.Sprintf("The %s %q is removed.", noun, key)})
		default:
			if fields := fieldChanges(oldItem, nextItem); len(fields) > 0 {
				changes = append(changes, Change{itemPath, fmt.Sprintf("The %s %q changes: %s.", noun, key, strings.Join(fields, "; "))})
			}
		}
	}
	return changes
}

func mapByName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, item := range list {
		m[name(item)] = item
	}
	return m
}

func unionKeys[T any](a, b map[string]T) []string {
	keys := make([]string, 0, len(a))
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, inBoth := a[key]; !inBoth {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// fieldChanges describes the fields that differ between two structs of one
// type, by their names in the manifest.
func fieldChanges(old, next any) []string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	var changes []string
	for i := range a.NumField() {
		before, after := a.Field(i).Interface(), b.Field(i).Interface()
		if sameField(before, after) {
			continue
		}
		name := a.Type().Field(i).Tag.Get("toml")
		changes = append(changes, fmt.Sprintf("%s from %s to %s", name, formatValue(before), formatValue(after)))
	}
	return changes
}

// sameField reports whether two values of a field are equal. An empty list
// equals a nil list, and times are equal if they are the same instant.
func sameField(a, b any) bool {
	if at, ok := a.(time.Time); ok {
		return at.Equal(b.(time.Time))
	}
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	if x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}

// formatValue returns a field's value as text for the operator.
func formatValue(value any) string {
	switch v := value.(type) {
	case time.Time:
		return v.Format(time.RFC3339)
	case fmt.Stringer:
		return v.String()
	}
	if reflect.TypeOf(value).Kind() == reflect.String {
		return fmt.Sprintf("%q", value)
	}
	return fmt.Sprintf("%+v", value)
}
