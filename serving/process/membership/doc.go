// Package membership runs the fleet's failure detector over UDP.
//
// A Service owns one Network, feeds datagrams and ticks to the pure machine of
// core, and carries out what that decides. Datagrams are sealed with a key that
// the fleet shares; what can't be opened is dropped and counted. Live and Awake
// read a snapshot and never wait. The lock of the machine is not held over
// sending, receiving or a callback.
package membership
