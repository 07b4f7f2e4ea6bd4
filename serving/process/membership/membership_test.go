package membership

import (
	"bytes"
	"flag"
	"reflect"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1") // reproducible cases
}

func key(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

func drawMember(t *rapid.T) core.Member {
	return core.Member{
		Host:        names.Host(rapid.SampledFrom([]string{"10.0.0.1:7300", "[fd00::1]:7300"}).Draw(t, "host")),
		DataCentre:  names.DataCentre(rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "centre")),
		Incarnation: names.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Refutation:  rapid.Uint32().Draw(t, "refutation"),
		State:       core.State(rapid.IntRange(0, int(core.Left)).Draw(t, "state")),
		Draining:    rapid.Bool().Draw(t, "draining"),
		Version:     names.Version(rapid.Uint64().Draw(t, "version")),
	}
}

func TestDatagramEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := core.Datagram{
			Purpose:       core.Purpose(rapid.IntRange(0, int(core.Purposes)-1).Draw(t, "purpose")),
			From:          drawMember(t),
			To:            names.Incarnation(rapid.Uint64().Draw(t, "to")),
			Sequence:      rapid.Uint64().Draw(t, "sequence"),
			PingHost:      "10.0.0.9:1",
			TableHash:     rapid.Uint64().Draw(t, "table"),
			ActiveMembers: rapid.IntRange(0, 4096).Draw(t, "counted"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "updates") {
			deadFor := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "dead")) * time.Millisecond
			d.Updates = append(d.Updates, core.Update{Member: drawMember(t), DeadFor: deadFor})
		}
		for range rapid.IntRange(0, 3).Draw(t, "digests") {
			d.Digests = append(d.Digests, core.Digest{
				Kind: gossip.Crash, Key: string(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key")),
				Sequence: rapid.Uint64().Draw(t, "sequence"), Payload: []byte{1},
			})
		}
		packet, err := encode(&d)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decode(packet)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(d, decoded) {
			t.Fatalf("%+v decoded as %+v", d, decoded)
		}
		if sealed := len(packet) + headerBytes + keyIDBytes + nonceBytes + 16; sealed > d.Bytes() {
			t.Fatalf("datagram has %d bytes, more than the %d that the machine accounts for", sealed, d.Bytes())
		}
	})
}

func TestSealerOpensOnlyKnownKeys(t *testing.T) {
	old, err := NewSealer([][]byte{key(1)})
	if err != nil {
		t.Fatal(err)
	}
	both, err := NewSealer([][]byte{key(2), key(1)})
	if err != nil {
		t.Fatal(err)
	}
	if plain, err := both.Open(old.Seal([]byte("x"))); err != nil || string(plain) != "x" {
		t.Fatalf("%q, %v", plain, err)
	}
	if _, err := old.Open(both.Seal([]byte("x"))); err == nil {
		t.Fatal("opened a datagram sealed with an unknown key")
	}
	sealed := old.Seal([]byte("x"))
	sealed[len(sealed)-1] ^= 1
	if _, err := old.Open(sealed); err == nil {
		t.Fatal("opened a modified datagram")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, packet []byte) {
		datagram, err := decode(packet)
		if err != nil {
			return
		}
		if _, err := encode(&datagram); err != nil {
			t.Fatal(err)
		}
	})
}
