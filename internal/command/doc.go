// Package command implements the command line of the sapphirehatch binary. It parses the
// arguments with kong and runs the command. Fields of the command structs become flags.
// The components of a host are built by dependency injection.
package command
