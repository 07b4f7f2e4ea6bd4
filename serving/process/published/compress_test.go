package published

import (
	"bytes"
	"testing"

	"carobspoke.example/core/process/replicas"
)

// TestCompressedValueIsThatOfItsRecord hands out two records of one key that have no revision, as after a
// restoration. Guards against a cached value of another record, an older configuration.
func TestCompressedValueIsThatOfItsRecord(t *testing.T) {
	older, newer := bytes.Repeat([]byte("older"), compressMinBytes), bytes.Repeat([]byte("newer"), compressMinBytes)
	server := &Server{Records: func(replicas.Position) Batch {
		return Batch{Position: at(3), Records: []Record{{Key: "config", Value: older}, {Key: "config", Value: newer}}}
	}}
	for range 2 {
		reply, err := server.Read(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		for i, want := range [][]byte{older, newer} {
			got, err := decompress(reply.GetRecords()[i].GetValue())
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("record %d has the value of another one: %.20q, want %.20q, %v", i, got, want, err)
			}
		}
	}
	if n := len(server.compressed); n != 2 {
		t.Errorf("%d compressed values are cached of two records", n)
	}
}
