// Package engine is a stand-in for a model engine: it speaks the HTTP form
// that serving/connection/targetapi documents and computes, instead of a
// model, how long one would take.
//
// One goroutine runs the batch. Each step decodes one token of every running
// stream and prefills a bounded chunk of prompt tokens; its duration is a
// function of the batch, the chunk and the KV blocks in use. Durations are
// those of the modelled engine divided by Config.Speedup; deadlines are in
// real time. Reports give rates in real time, as an observer would measure.
//
// A token's text is a function of the prompt's digest and the token's offset,
// so that a test can tell a lost, repeated or crossed token from a right one.
//
// Memory is counted in blocks. A stream reserves the blocks of its prompt and
// of its longest answer when it joins the batch. Handles stay pinned until
// they are freed; the engine never frees one by itself.
package engine
