// Package strict decodes TOML and rejects unknown keys. Its errors contain the
// position of the fault: file, row, column and key, and what was expected.
package strict

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Decode decodes text into out, and fails if text has keys that out does not
// have. name is the file name to use in errors.
func Decode(name string, text []byte, out any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return describe(name, err)
	}
	return nil
}

// describe adds the file name, and the position if known, to a decoding error.
func describe(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return errorAt(name, &unknown.Errors[0], "unknown key")
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		return errorAt(name, invalid, invalid.Error())
	}
	return errors.Wrap(err, name)
}

func errorAt(name string, e *toml.DecodeError, message string) error {
	row, column := e.Position()
	return errors.Errorf("%s:%d:%d: key %s: %s", name, row, column, keyPath(e.Key()), message)
}

// keyPath returns the parts of a key joined by dots.
func keyPath(key toml.Key) string {
	if len(key) == 0 {
		return "(none)"
	}
	text := key[0]
	for _, part := range key[1:] {
		text += "." + part
	}
	return text
}
