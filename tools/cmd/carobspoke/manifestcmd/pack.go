package manifestcmd

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"carobspoke.example/core/version/pages"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Files of a packed manifest, besides one for each value to publish, which is
// named by the value's key.
const (
	orderFile    = "ORDER"
	unsignedFile = "root.unsigned"
	deltasFile   = "root.deltas"
)

// Permissions of the directory and the files that are written.
const (
	directoryMode  = 0o755
	fileMode       = 0o644
	privateKeyMode = 0o600
)

func packCommand() *cli.Command {
	return &cli.Command{
		Name:      "pack",
		Usage:     "write the values to publish and the order in which to publish them",
		ArgsUsage: "MANIFEST.toml",
		Description: `Checks the manifest and splits it into pages. Writes a file for each value, named
by its key, and the file ORDER, which lists the keys in the order in which they
must be published, with the root last. With --previous, pages that the previous
version already has are left out, and daemons read a small change from the root's
value alone. Without --key the root stays unsigned until "manifest sign" signs
it.

` + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` to write, which must not exist; required"},
			&cli.StringFlag{Name: "previous", Usage: "manifest `FILE` that was published before this one"},
			&cli.StringFlag{Name: "key", Usage: "private key `FILE` of manifest keygen"},
		},
		Action: pack,
	}
}

func pack(_ context.Context, c *cli.Command) error {
	paths, err := exactArguments(c, 1)
	if err != nil {
		return err
	}
	next, err := packFile(c, paths[0])
	if err != nil {
		return err
	}
	previous, err := loadPrevious(c, next)
	if err != nil {
		return err
	}
	key, err := optionalPrivateKey(c)
	if err != nil {
		return err
	}
	out, err := requiredFlag(c, "out")
	if err != nil {
		return err
	}
	if err := os.Mkdir(out, directoryMode); err != nil {
		return errors.Wrap(err, "output directory")
	}
	if err := writePages(out, previous, next); err != nil {
		return err
	}
	if key == nil {
		return printf(c, "%s: version %d, unsigned: run manifest sign\n", out, next.Root.Version)
	}
	return sign(c, out, key)
}

// optionalPrivateKey returns the private key, or nil if the flag is not set. It
// is called before any file is written, so that a bad key leaves no output.
func optionalPrivateKey(c *cli.Command) (ed25519.PrivateKey, error) {
	if c.String("key") == "" {
		return nil, nil
	}
	return readPrivateKey(c.String("key"))
}

// packFile loads a manifest and splits it into pages with an unsigned root.
func packFile(c *cli.Command, path string) (*pages.PackedManifest, error) {
	m, err := loadManifest(c.Root().ErrWriter, path)
	if err != nil {
		return nil, err
	}
	packed, err := pages.PackUnsigned(m)
	if err != nil {
		return nil, inputErrorf("%s: %v", path, err)
	}
	return packed, nil
}

// loadPrevious returns the packed previous manifest, or nil if the flag is not
// set. Its version must be below that of next.
func loadPrevious(c *cli.Command, next *pages.PackedManifest) (*pages.PackedManifest, error) {
	path := c.String("previous")
	if path == "" {
		return nil, nil
	}
	previous, err := packFile(c, path)
	if err != nil {
		return nil, err
	}
	if next.Root.Version <= previous.Root.Version {
		return nil, inputErrorf("version %d is not above version %d: daemons would refuse it", next.Root.Version, previous.Root.Version)
	}
	return previous, nil
}

// writePages writes the new pages, the unsigned root and the deltas, and ORDER
// without the root's key.
func writePages(out string, previous, next *pages.PackedManifest) error {
	var order strings.Builder
	for _, value := range pages.NewPageValues(previous, next) {
		if err := writeFile(out, value.Key, value.Data); err != nil {
			return err
		}
		order.WriteString(value.Key + "\n")
	}
	if err := writeFile(out, orderFile, []byte(order.String())); err != nil {
		return err
	}
	if err := writeFile(out, unsignedFile, next.Root.Encode()); err != nil {
		return err
	}
	deltas, err := json.Marshal(pages.Deltas(previous, next))
	if err != nil {
		return errors.Wrap(err, "encode deltas")
	}
	return writeFile(out, deltasFile, deltas)
}

func signCommand() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "sign the root of a packed manifest",
		ArgsUsage: "DIRECTORY",
		Description: `Signs the root that "manifest pack" left unsigned, writes the root's value and
adds its key as the last line of ORDER. Only this step needs the private key.

` + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "private key `FILE` of manifest keygen; required"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := exactArguments(c, 1)
			if err != nil {
				return err
			}
			path, err := requiredFlag(c, "key")
			if err != nil {
				return err
			}
			key, err := readPrivateKey(path)
			if err != nil {
				return err
			}
			return sign(c, paths[0], key)
		},
	}
}

func sign(c *cli.Command, directory string, key ed25519.PrivateKey) error {
	unsigned, err := os.ReadFile(filepath.Join(directory, unsignedFile))
	if err != nil {
		return errors.Wrap(err, "unsigned root")
	}
	encodedDeltas, err := os.ReadFile(filepath.Join(directory, deltasFile))
	if err != nil {
		return errors.Wrap(err, "deltas")
	}
	var deltas []pages.Delta
	if err := json.Unmarshal(encodedDeltas, &deltas); err != nil {
		return inputErrorf("%s: %v", deltasFile, err)
	}
	signed, err := pages.Sign(unsigned, key)
	if err != nil {
		return err
	}
	root, err := pages.EncodePublication(signed, deltas)
	if err != nil {
		return err
	}
	return addRoot(c, directory, root)
}

// addRoot writes the value of the signed root, adds its key as the last line of
// ORDER and removes the files of the unsigned root.
func addRoot(c *cli.Command, directory string, root pages.Value) error {
	order, err := os.ReadFile(filepath.Join(directory, orderFile))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	lines := strings.TrimSuffix(string(order), root.Key+"\n") + root.Key + "\n"
	if err := writeFile(directory, root.Key, root.Data); err != nil {
		return err
	}
	if err := writeFile(directory, orderFile, []byte(lines)); err != nil {
		return err
	}
	for _, name := range []string{unsignedFile, deltasFile} {
		if err := os.Remove(filepath.Join(directory, name)); err != nil {
			return errors.Wrap(err, "clean up")
		}
	}
	return printf(c, "%s: signed; write its values in the order of %s\n", directory, orderFile)
}

func writeFile(directory, name string, data []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(directory, name), data, fileMode), "write")
}
