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
	// Path is what changed, such as "customers/press-a".
	Path string
	// Sentence tells the operator what changes.
	Sentence string
}

// Diff returns what changes when next replaces old, grouped by section and
// sorted by name.
func Diff(old, next *Manifest) []Change {
	var changes []Change
	if old.Version != next.Version {
		changes = append(changes, Change{"version", fmt.Sprintf("The version goes from %d to %d.", old.Version, next.Version)})
	}
	changes = append(changes, single("fleet", old.Fleet, next.Fleet)...)
	changes = append(changes, single("policy", old.Policy, next.Policy)...)
	changes = append(changes, section("models", "model", old.Models, next.Models, func(m Model) string { return string(m.Name) })...)
	changes = append(changes, section("services", "service", old.Services, next.Services, func(s Service) string { return string(s.Name) })...)
	changes = append(changes, section("customers", "customer", old.Customers, next.Customers, func(c Customer) string { return string(c.Name) })...)
	changes = append(changes, section("targets", "target", old.Targets, next.Targets, func(t Target) string { return string(t.Name) })...)
	changes = append(changes, section("departures", "departure of target", old.Departures, next.Departures, func(d Departure) string { return string(d.Target) })...)
	return changes
}

func single[T any](path string, old, next T) []Change {
	fields := fieldChanges(old, next)
	if len(fields) == 0 {
		return nil
	}
	return []Change{{path, "The " + path + " changes: " + strings.Join(fields, "; ") + "."}}
}

func section[T any](path, noun string, old, next []T, name func(T) string) []Change {
	before, after := keyed(old, name), keyed(next, name)
	var changes []Change
	for _, key := range unionKeys(before, after) {
		was, had := before[key]
		is, has := after[key]
		place := path + "/" + key
		switch {
		case !had:
			changes = append(changes, Change{place, fmt.Sprintf("The %s %q is added.", noun, key)})
		case !has:
			changes = append(changes, Change{place, fmt.Sprintf("The %s %q is removed.", noun, key)})
		default:
			if fields := fieldChanges(was, is); len(fields) > 0 {
				changes = append(changes, Change{place, fmt.Sprintf("The %s %q changes: %s.", noun, key, strings.Join(fields, "; "))})
			}
		}
	}
	return changes
}

func keyed[T any](list []T, name func(T) string) map[string]T {
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
		if _, both := a[key]; !both {
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
		changes = append(changes, fmt.Sprintf("%s from %s to %s", name, show(before), show(after)))
	}
	return changes
}

// sameField compares two values of a field. An empty list is the same as none,
// and two forms of one instant are the same.
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

func show(value any) string {
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
