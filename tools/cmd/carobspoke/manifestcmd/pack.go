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

// Files of a packed manifest. Each value to publish is a file of its key.
const (
	orderFile    = "ORDER"
	unsignedFile = "root.unsigned"
	deltasFile   = "root.deltas"
)

// Permissions of what is written.
const (
	directoryMode = 0o755
	fileMode      = 0o644
	secretMode    = 0o600
)

func packCommand() *cli.Command {
	return &cli.Command{
		Name:      "pack",
		Usage:     "write the values to publish and their order",
		ArgsUsage: "MANIFEST.toml",
		Description: `Checks the manifest and cuts it into pages. The directory gets a file for each
value, named by its key, and the file ORDER, which lists the keys in the order
in which they must be written: the root is the last. With --previous, pages that
the version before has already are left out, and daemons read a small change
from the root's value alone. Without --key the root is left unsigned for
"manifest sign" to finish.

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
	paths, err := arguments(c, 1)
	if err != nil {
		return err
	}
	next, err := cutFile(c, paths[0])
	if err != nil {
		return err
	}
	previous, err := previousOf(c, next)
	if err != nil {
		return err
	}
	key, err := keyIfGiven(c)
	if err != nil {
		return err
	}
	out, err := required(c, "out")
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
		return say(c, "%s: version %d, unsigned: run manifest sign\n", out, next.Root.Version)
	}
	return sign(c, out, key)
}

// keyIfGiven reads the private key before anything is written.
func keyIfGiven(c *cli.Command) (ed25519.PrivateKey, error) {
	if c.String("key") == "" {
		return nil, nil
	}
	return readPrivateKey(c.String("key"))
}

func cutFile(c *cli.Command, path string) (*pages.PackedManifest, error) {
	m, err := load(c.Root().ErrWriter, path)
	if err != nil {
		return nil, err
	}
	p, err := pages.PackUnsigned(m)
	if err != nil {
		return nil, refuse("%s: %v", path, err)
	}
	return p, nil
}

func previousOf(c *cli.Command, next *pages.PackedManifest) (*pages.PackedManifest, error) {
	path := c.String("previous")
	if path == "" {
		return nil, nil
	}
	previous, err := cutFile(c, path)
	if err != nil {
		return nil, err
	}
	if next.Root.Version <= previous.Root.Version {
		return nil, refuse("version %d is not above version %d: daemons would refuse it", next.Root.Version, previous.Root.Version)
	}
	return previous, nil
}

// writePages writes the new pages, the unsigned root and the deltas, and ORDER
// without the root's key.
func writePages(out string, previous, next *pages.PackedManifest) error {
	var order strings.Builder
	for _, value := range pages.NewPageValues(previous, next) {
		if err := write(out, value.Key, value.Data); err != nil {
			return err
		}
		order.WriteString(value.Key + "\n")
	}
	if err := write(out, orderFile, []byte(order.String())); err != nil {
		return err
	}
	if err := write(out, unsignedFile, next.Root.Encode()); err != nil {
		return err
	}
	deltas, err := json.Marshal(pages.Deltas(previous, next))
	if err != nil {
		return errors.Wrap(err, "encode deltas")
	}
	return write(out, deltasFile, deltas)
}

func signCommand() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "sign the root of a packed manifest",
		ArgsUsage: "DIRECTORY",
		Description: `Signs what "manifest pack" left unsigned, writes the root's value and adds its key
as the last line of ORDER. Only this step needs the private key.

` + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "private key `FILE` of manifest keygen; required"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1)
			if err != nil {
				return err
			}
			path, err := required(c, "key")
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
	encoded, err := os.ReadFile(filepath.Join(directory, unsignedFile))
	if err != nil {
		return errors.Wrap(err, "unsigned root")
	}
	text, err := os.ReadFile(filepath.Join(directory, deltasFile))
	if err != nil {
		return errors.Wrap(err, "deltas")
	}
	var deltas []pages.Delta
	if err := json.Unmarshal(text, &deltas); err != nil {
		return refuse("%s: %v", deltasFile, err)
	}
	signed, err := pages.Sign(encoded, key)
	if err != nil {
		return err
	}
	root, err := pages.EncodePublication(signed, deltas)
	if err != nil {
		return err
	}
	return finish(c, directory, root)
}

// finish writes the root's value and its place in the order.
func finish(c *cli.Command, directory string, root pages.Value) error {
	order, err := os.ReadFile(filepath.Join(directory, orderFile))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	lines := strings.TrimSuffix(string(order), root.Key+"\n") + root.Key + "\n"
	if err := write(directory, root.Key, root.Data); err != nil {
		return err
	}
	if err := write(directory, orderFile, []byte(lines)); err != nil {
		return err
	}
	for _, name := range []string{unsignedFile, deltasFile} {
		if err := os.Remove(filepath.Join(directory, name)); err != nil {
			return errors.Wrap(err, "clean up")
		}
	}
	return say(c, "%s: signed; write its values in the order of %s\n", directory, orderFile)
}

func write(directory, name string, data []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(directory, name), data, fileMode), "write")
}
