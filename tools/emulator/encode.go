package emulator

import (
	"encoding/json"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"github.com/pkg/errors"
)

// The functions in this file add to the encodings of package platform the fields that its
// encoders leave out.

// fields is a JSON object.
type fields map[string]any

// extend decodes a JSON object, changes it and encodes it.
func extend(text []byte, change func(fields)) ([]byte, error) {
	var object fields
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, errors.Wrap(err, "emulator")
	}
	change(object)
	text, err := json.Marshal(object)
	return text, errors.Wrap(err, "emulator")
}

// sub returns an object inside an object, which it creates if there is none.
func (f fields) sub(name string) fields {
	object, ok := f[name].(map[string]any)
	if !ok {
		object = make(map[string]any)
		f[name] = object
	}
	return object
}

// item returns the i-th object of a list.
func (f fields) item(name string, i int) fields {
	list, _ := f[name].([]any)
	object, _ := list[i].(map[string]any)
	return object
}

// EncodeSettings returns the content of a daemon's settings file.
func EncodeSettings(s *edge.Settings) ([]byte, error) {
	text, err := platform.EncodeSettings(s)
	if err != nil {
		return nil, err
	}
	return extend(text, func(f fields) {
		bounds := f.sub("bounds")
		bounds["cold_overage"], bounds["cold_slack"] = s.ColdOverage, s.ColdSlack
		if s.MemoryBytes > 0 || s.Descriptors > 0 {
			limits := f.sub("limits")
			limits["memory_mb"], limits["max_fds"] = s.MemoryBytes>>20, s.Descriptors
		}
	})
}

func encodeTarget(t *replicas.Target) ([]byte, error) {
	text, err := platform.EncodeTarget(t)
	if err != nil || t.ColdLeft == 0 {
		return text, err
	}
	return extend(text, func(f fields) { f["cold_left_ms"] = t.ColdLeft.Milliseconds() })
}

func encodeConfig(c *routing.Config) ([]byte, error) {
	text, err := platform.EncodeConfig(c)
	if err != nil {
		return nil, err
	}
	return extend(text, func(f fields) {
		for i := range c.Services {
			if s := &c.Services[i]; s.ColdRate > 0 {
				service := f.item("services", i)
				service["cold_s"], service["cold_per_s"] = float64(s.ColdTime)/float64(time.Second), s.ColdRate
			}
		}
		for i := range c.Routes {
			setRegions(f.item("routes", i), c.Routes[i].Regions)
		}
		for i := range c.Customers {
			setRegions(f.item("tenants", i), c.Customers[i].Regions)
		}
	})
}

func setRegions(f fields, regions []names.Region) {
	if len(regions) > 0 {
		f["allowed_regions"] = regions
	}
}
