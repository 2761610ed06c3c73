// Package engineapi defines the HTTP interface of model engines. It is the
// widely used chat completions interface with additional fields for weight
// versions, for resuming generations and for orders to load weights.
package engineapi
