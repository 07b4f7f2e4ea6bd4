package pages

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// rootMagic is the first word of an encoded root. The format, schema and version
// follow on the same line. Each further line describes a page: section, digest,
// size in bytes, and the name of the first entry, which is omitted for the first
// page of a section.
const rootMagic = "carobspoke-manifest"

func encodeRoot(r *Root) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %d %d %d\n", rootMagic, r.Format, r.Schema, r.Version)
	for _, ref := range r.Pages {
		line := fmt.Sprintf("%s %s %d %s", ref.Section, ref.Digest, ref.Bytes, ref.First)
		b.WriteString(strings.TrimRight(line, " "))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// decodeRoot sets the format, schema, version and pages of r. It decodes only the
// first line of a root of another format.
func decodeRoot(r *Root, payload []byte) error {
	header, rest, _ := strings.Cut(string(payload), "\n")
	if err := decodeHeader(r, header); err != nil || r.Format != Format {
		return err
	}
	for line := range strings.Lines(rest) {
		if len(r.Pages) == MaxPages {
			return errors.Wrapf(ErrInvalidManifest, "root has more than %d pages", MaxPages)
		}
		ref, err := decodeRef(strings.TrimSuffix(line, "\n"))
		if err != nil {
			return errors.Wrapf(err, "page %d", len(r.Pages))
		}
		r.Pages = append(r.Pages, ref)
	}
	return nil
}

func decodeHeader(r *Root, line string) error {
	fields := strings.Split(line, " ")
	if len(fields) != 4 || fields[0] != rootMagic {
		return errors.Wrap(ErrInvalidManifest, "root does not begin with "+rootMagic)
	}
	var err error
	if r.Format, err = strconv.Atoi(fields[1]); err != nil {
		return errors.Wrapf(ErrInvalidManifest, "root's format: %v", err)
	}
	if r.Schema, err = strconv.Atoi(fields[2]); err != nil {
		return errors.Wrapf(ErrInvalidManifest, "root's schema: %v", err)
	}
	version, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return errors.Wrapf(ErrInvalidManifest, "root's version: %v", err)
	}
	r.Version = names.Version(version)
	return nil
}

func decodeRef(line string) (Ref, error) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 && len(fields) != 4 {
		return Ref{}, errors.Wrap(ErrInvalidManifest, "expected section, digest, bytes and first name")
	}
	size, err := strconv.Atoi(fields[2])
	if err != nil {
		return Ref{}, errors.Wrapf(ErrInvalidManifest, "bytes: %v", err)
	}
	ref := Ref{Section: Section(fields[0]), Digest: names.Digest(fields[1]), Bytes: size}
	if len(fields) == 4 {
		ref.First = fields[3]
	}
	return ref, nil
}
