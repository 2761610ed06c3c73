// Package engine is a simulated model engine. It generates text with continuous
// batching, a prefix cache of limited size and request priorities, lets clients
// resume and cancel generations, and loads weight versions on order. The text is
// a function of the prompt, the seed and the token position. Clients can verify
// any part of it.
package engine
