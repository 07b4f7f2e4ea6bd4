package manifestcmd

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobspoke.example/core/version/pages"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const manifestText = `schema = 1
version = 1
[fleet]
expected_daemons = 1
data_centres = [{name = "a", region = "r"}]
[[customers]]
name = "sewa"
`

// run executes the manifest command with args. It returns the output, followed
// by the error's text, and the exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "carobspoke", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{Command()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"carobspoke", "manifest"}, args...))
	if err == nil {
		return out.String(), 0
	}
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return out.String() + err.Error(), exitCoder.ExitCode()
	}
	return out.String() + err.Error(), 1
}

func writeTestFile(t *testing.T, path, content string) {
	if err := os.WriteFile(path, []byte(content), fileMode); err != nil {
		t.Fatal(err)
	}
}

func TestManifestCommands(t *testing.T) {
	dir := t.TempDir()
	old, next, bad := filepath.Join(dir, "1.toml"), filepath.Join(dir, "2.toml"), filepath.Join(dir, "bad.toml")
	writeTestFile(t, old, manifestText)
	writeTestFile(t, next, strings.Replace(manifestText, "version = 1", "version = 2", 1)+"share = 2.0\n")
	writeTestFile(t, bad, strings.Replace(manifestText, "version = 1", "version = 0", 1))
	prefix, out := filepath.Join(dir, "signing"), filepath.Join(dir, "out")
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", old}, 0, "version 1 is valid"},
		{[]string{"check", bad}, 2, "version: expected a number from 1"},
		{[]string{"check", filepath.Join(dir, "none.toml")}, 1, "no such file"},
		{[]string{"check"}, 2, "expected 1 arguments (MANIFEST.toml)"},
		{[]string{"diff", old, next}, 0, `The customer "sewa" changes: share from 0 to 2.`},
		{[]string{"diff", next, old}, 2, "daemons would refuse it"},
		{[]string{"keygen", prefix}, 0, "public_key = "},
		{[]string{"keygen", prefix}, 1, "exists"},
		{[]string{"pack", "--previous", next, "--out", out, old}, 2, "daemons would refuse it"},
		{[]string{"pack", "--key", filepath.Join(dir, "none"), "--out", out, next}, 1, "private key"},
		{[]string{"pack", next}, 2, "--out is required"},
		{[]string{"pack", "--colour", next}, 2, "colour"},
		{[]string{"publish"}, 2, `no command "publish"`},
		{[]string{"pack", "--previous", old, "--out", out, next}, 0, "unsigned"},
		{[]string{"sign", "--key", prefix + ".pub", out}, 2, "expected a private key"},
		{[]string{"sign", "--key", prefix + ".key", out}, 0, "signed"},
	}
	for _, step := range steps {
		got, code := run(step.args...)
		if code != step.code || !strings.Contains(got, step.want) {
			t.Fatalf("%v: exit code %d, %s", step.args, code, got)
		}
	}
	checkPackedVersion(t, out, prefix+".pub")
}

// checkPackedVersion checks the files in out as a daemon does: the root must be
// the last key in the order and correctly signed, and each page must match its
// digest.
func checkPackedVersion(t *testing.T, out, publicKey string) {
	order := strings.Fields(readTestFile(t, filepath.Join(out, orderFile)))
	if len(order) < 2 || order[len(order)-1] != pages.RootKey {
		t.Fatalf("order %v", order)
	}
	key, err := hex.DecodeString(strings.TrimSpace(readTestFile(t, publicKey)))
	if err != nil {
		t.Fatal(err)
	}
	publication, err := pages.ParsePublication([]byte(readTestFile(t, filepath.Join(out, pages.RootKey))))
	if err != nil || len(publication.Deltas) == 0 {
		t.Fatalf("publication: %v", err)
	}
	root, err := pages.ParseRoot([]byte(publication.Root), []ed25519.PublicKey{key})
	if err != nil || root.Version != 2 {
		t.Fatalf("root: %v", err)
	}
	changed := 0
	for _, ref := range root.Pages {
		data, err := os.ReadFile(filepath.Join(out, pages.PageKey(ref.Digest)))
		if err != nil {
			continue
		}
		changed++
		if pages.DigestOf(data) != ref.Digest {
			t.Fatalf("content of page %s does not match its digest", ref.Digest)
		}
	}
	if changed != 1 {
		t.Fatalf("%d pages written, want 1 for one change", changed)
	}
}

func readTestFile(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
