package ticket

import (
	"bytes"
	"encoding/base64"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func secret(b byte) []byte { return bytes.Repeat([]byte{b}, SecretBytes) }

func random() *rand.ChaCha8 { return rand.NewChaCha8([32]byte{1}) }

func ring(t testing.TB, secrets ...[]byte) *Keyring {
	t.Helper()
	r, err := NewKeyring(secrets...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func sample() Call {
	return Call{
		ID: "7", Customer: "a", Service: "file", Owner: "10.0.0.1:7", Incarnation: 3,
		ExpiresAfterStart: time.Minute, ExpiresAt: start.Add(time.Minute), Key: KeyDigest("a", "file", "k"),
	}
}

func TestOpenCall(t *testing.T) {
	old := ring(t, secret(1))
	rotated := ring(t, secret(2), secret(1))
	text, err := old.SealCall(sample(), random())
	if err != nil {
		t.Fatal(err)
	}
	got, err := rotated.OpenCall(text, "a", "file", start)
	if err != nil || got != sample() {
		t.Fatalf("a ticket sealed with an older key must open: %+v, %v", got, err)
	}
	cases := []struct {
		name string
		open func() error
		want verdict.Reason
	}{
		{"other customer", func() error { _, err := old.OpenCall(text, "b", "file", start); return err }, verdict.TicketInvalid},
		{"other service", func() error { _, err := old.OpenCall(text, "a", "order", start); return err }, verdict.TicketInvalid},
		{"removed key", func() error { _, err := ring(t, secret(2)).OpenCall(text, "a", "file", start); return err }, verdict.TicketInvalid},
		{"opened as a stream ticket", func() error { _, err := old.OpenStream(text, "a", start); return err }, verdict.TicketInvalid},
		{"expired", func() error {
			_, err := old.OpenCall(text, "a", "file", start.Add(time.Minute+MaxClockSkew))
			return err
		}, verdict.TicketExpired},
	}
	for _, c := range cases {
		e := verdict.From(c.open())
		if e == nil || e.Reason != c.want || e.Verdict != verdict.MayHaveRun {
			t.Errorf("%s: %v", c.name, e)
		}
	}
}

func TestChangedTicketsAreRefused(t *testing.T) {
	r := ring(t, secret(1))
	text, err := r.SealStream(Stream{Customer: "a", Deadline: start.Add(time.Hour)}, random())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		changed := bytes.Clone(raw)
		changed[i] ^= 1
		if _, err := r.OpenStream(base64.RawURLEncoding.EncodeToString(changed), "a", start); err == nil {
			t.Fatalf("a ticket with a change in byte %d opens", i)
		}
	}
}

func FuzzOpen(f *testing.F) {
	r := ring(f, secret(1))
	text, err := r.SealCall(sample(), random())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("")
	f.Add(text[:40])
	f.Fuzz(func(t *testing.T, in string) {
		got, err := r.OpenCall(in, "a", "file", start)
		if err == nil && (in != text || got != sample()) {
			t.Fatalf("a forged call ticket opens: %q", in)
		}
		if _, err := r.OpenStream(in, "a", start); err == nil {
			t.Fatalf("a forged stream ticket opens: %q", in)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	r := ring(b, secret(1))
	source := random()
	for b.Loop() {
		text, err := r.SealCall(sample(), source)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := r.OpenCall(text, "a", "file", start); err != nil {
			b.Fatal(err)
		}
	}
}
