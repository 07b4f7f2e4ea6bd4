package manifestcmd

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func keygenCommand() *cli.Command {
	return &cli.Command{
		Name:      "keygen",
		Usage:     "generate a key pair for signing manifests",
		ArgsUsage: "PREFIX",
		Description: `Writes the private key to PREFIX.key, which must stay in the pipeline, and the
public key to PREFIX.pub, whose text is the setting manifest.public_key of the
daemons. Existing files are not overwritten.

` + exitCodes,
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := exactArguments(c, 1)
			if err != nil {
				return err
			}
			return keygen(c, paths[0])
		},
	}
}

func keygen(c *cli.Command, prefix string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	if err := createFile(prefix+".key", hex.EncodeToString(private), privateKeyMode); err != nil {
		return err
	}
	text := hex.EncodeToString(public)
	if err := createFile(prefix+".pub", text, fileMode); err != nil {
		return err
	}
	return printf(c, "public_key = %q\n", text)
}

// createFile writes text to a new file. It fails if the file exists.
func createFile(path, text string, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "key file")
	}
	_, err = file.WriteString(text + "\n")
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "key file")
}

// readPrivateKey reads a private key in the hexadecimal format of keygen.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "private key")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != ed25519.PrivateKeySize {
		return nil, inputErrorf("%s: expected a private key of %d hexadecimal digits", path, 2*ed25519.PrivateKeySize)
	}
	return key, nil
}
