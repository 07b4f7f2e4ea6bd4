package facts

import (
	"strings"
	"testing"
)

func TestPrefixesAreSharedByPromptsAndNotByCustomers(t *testing.T) {
	base := strings.Repeat("a", 2*PrefixBytes)
	one := Prefixes("c", "m", "", base+strings.Repeat("b", PrefixBytes))
	two := Prefixes("c", "m", "", base+strings.Repeat("c", PrefixBytes))
	if len(one) != 3 || one[0] != two[0] || one[1] != two[1] || one[2] == two[2] {
		t.Fatalf("%x and %x", one, two)
	}
	other := Prefixes("d", "m", "", base)
	if other[0] == one[0] || other[1] == one[1] {
		t.Fatal("two customers share a digest")
	}
	if n := len(Prefixes("c", "m", "", strings.Repeat("a", 2*MaxPrefixes*PrefixBytes))); n != MaxPrefixes {
		t.Fatalf("%d digests", n)
	}
}
