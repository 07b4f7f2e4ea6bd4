package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"carobspoke.example/core/version/routing"
)

// Compare returns the differences of a configuration from the one in force, one a line, in
// the order of routes, services, customers and limits, each by name. API keys are counted,
// not shown.
func Compare(inForce, next *routing.Config) []string {
	var list []string
	if next.Version != inForce.Version {
		list = append(list, fmt.Sprintf("version: %d -> %d", inForce.Version, next.Version))
	}
	list = append(list, compareEntries("route", byName(inForce.Routes, routeName), byName(next.Routes, routeName))...)
	list = append(list, compareEntries("service", byName(inForce.Services, serviceName), byName(next.Services, serviceName))...)
	list = append(list, compareEntries("tenant", byName(inForce.Customers, customerName), byName(next.Customers, customerName))...)
	return append(list, compareFields("limits", reflect.ValueOf(inForce.Limits), reflect.ValueOf(next.Limits))...)
}

// CheckVersion returns a finding if daemons that have a version in force would ignore the
// next one.
func CheckVersion(inForce, next *routing.Config) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("%d does not follow %d, which is in force", next.Version, inForce.Version)}}
}

func routeName(r *routing.Route) string       { return r.Name }
func serviceName(s *routing.Service) string   { return string(s.Name) }
func customerName(c *routing.Customer) string { return string(c.Name) }

// byName returns entries by name. Of several with one name the second and further get a
// number.
func byName[T any](entries []T, name func(*T) string) map[string]reflect.Value {
	index := make(map[string]reflect.Value, len(entries))
	for i := range entries {
		unique := name(&entries[i])
		for n := 2; index[unique].IsValid(); n++ {
			unique = fmt.Sprintf("%s#%d", name(&entries[i]), n)
		}
		index[unique] = reflect.ValueOf(entries[i])
	}
	return index
}

func compareEntries(kind string, before, after map[string]reflect.Value) []string {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var list []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		place := fmt.Sprintf("%s %q", kind, name)
		switch {
		case !before[name].IsValid():
			list = append(list, place+": added")
		case !after[name].IsValid():
			list = append(list, place+": removed")
		default:
			list = append(list, compareFields(place, before[name], after[name])...)
		}
	}
	return list
}

// compareFields compares two structs field by field, and those that they point to.
func compareFields(place string, before, after reflect.Value) []string {
	var list []string
	for i := range before.NumField() {
		name, x, y := before.Type().Field(i).Name, before.Field(i), after.Field(i)
		if reflect.DeepEqual(x.Interface(), y.Interface()) {
			continue
		}
		field := place + ": " + name
		switch keys, ok := x.Interface().([]string); {
		case ok:
			list = append(list, compareKeys(field, keys, y.Interface().([]string))...) //nolint:forcetypeassert // the same field of the same type
		case isStruct(x) && isStruct(y):
			list = append(list, compareFields(field, x.Elem(), y.Elem())...)
		default:
			list = append(list, fmt.Sprintf("%s: %s -> %s", field, format(x), format(y)))
		}
	}
	return list
}

// compareKeys compares lists of API keys without showing them.
func compareKeys(field string, before, after []string) []string {
	count := func(list, other []string) (n int) {
		for _, key := range list {
			if !slices.Contains(other, key) {
				n++
			}
		}
		return n
	}
	added, removed := count(after, before), count(before, after)
	if added == 0 && removed == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d added, %d removed", field, added, removed)}
}

// isStruct reports whether a value points to a struct.
func isStruct(v reflect.Value) bool {
	return v.Kind() == reflect.Pointer && !v.IsNil() && v.Elem().Kind() == reflect.Struct
}

// format returns a value as text, and what a pointer points to.
func format(v reflect.Value) string {
	switch {
	case v.Kind() != reflect.Pointer:
		return fmt.Sprintf("%v", v.Interface())
	case v.IsNil():
		return "none"
	default:
		return fmt.Sprintf("%+v", v.Elem().Interface())
	}
}
