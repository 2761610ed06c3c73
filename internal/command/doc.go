// Package command implements the command line of the sapphirehatch binary. It parses the
// arguments with kong, builds the processes by dependency injection and runs them.
// Fields of the command structs become flags.
package command
