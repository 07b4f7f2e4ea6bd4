// Package engine is a stand-in for a language model engine. It implements the
// HTTP API that serving/connection/targetapi documents, but runs no model: it
// simulates the time that a model would take.
//
// One goroutine runs the batch. Each step decodes one token of every running
// stream and prefills a chunk of prompt tokens of limited size; its duration
// is a function of the batch, the chunk and the context in KV memory. Durations
// are those of the modelled engine divided by Config.Speedup; deadlines are in
// real time. Reports contain rates in real time, as an observer would measure
// them.
//
// The text of a token is a function of the prompt's digest and the token's
// offset, so that a test can detect a token that is lost, repeated or of
// another stream.
//
// Memory is counted in blocks. When a stream joins the batch, it reserves the
// blocks of its prompt and of an answer of maximum length. Handles stay pinned
// until a caller frees them; the engine never evicts a handle.
package engine
