// Package strict reads TOML in which every key must be known, and says where
// a mistake is: file, row, column, key and what was expected.
package strict

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Decode reads text into out. name is the file's name for the error.
func Decode(name string, text []byte, out any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return describe(name, err)
	}
	return nil
}

func describe(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return at(name, &unknown.Errors[0], "unknown key")
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return at(name, wrong, wrong.Error())
	}
	return errors.Wrap(err, name)
}

func at(name string, e *toml.DecodeError, message string) error {
	row, column := e.Position()
	return errors.Errorf("%s:%d:%d: key %s: %s", name, row, column, dotted(e.Key()), message)
}

func dotted(key toml.Key) string {
	if len(key) == 0 {
		return "(none)"
	}
	text := key[0]
	for _, part := range key[1:] {
		text += "." + part
	}
	return text
}
