package processes

import (
	"fmt"
	"math/rand/v2"
)

// RandomLoopback returns a random loopback address above 127.0.0.1, for the daemons of one
// test. A daemon that is killed frees its ports until it is started again; on an address
// that is used by others they may be taken meanwhile, by a daemon of another fleet too.
func RandomLoopback() string {
	const lowest, addresses = 2, 250
	return fmt.Sprintf("127.%d.%d.%d", lowest+rand.IntN(addresses), rand.IntN(addresses), lowest+rand.IntN(addresses))
}
