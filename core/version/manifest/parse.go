package manifest

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Parse reads a manifest's TOML text. An unknown key is an error. It does not
// validate the manifest; Validate does.
func Parse(text []byte) (*Manifest, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var m Manifest
	if err := decoder.Decode(&m); err != nil {
		return nil, errors.Wrap(withPosition(err), "manifest")
	}
	return &m, nil
}

// withPosition adds row, column and key to an error from the TOML decoder.
func withPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		first := strict.Errors[0]
		row, column := first.Position()
		return errors.Errorf("row %d, column %d: unknown key %q", row, column, first.Key())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return errors.Errorf("row %d, column %d, key %q: %s", row, column, decode.Key(), decode.Error())
	}
	return err
}
