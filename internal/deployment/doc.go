// Package deployment defines the deployment document: the INI text that configures
// all hosts of a deployment, with its services, engine pools, trainers, rules, tenants,
// operators and limits. Parse validates a text and returns a Document, which is
// immutable; a new version replaces the whole document. A Source provides the version
// in force. The schema (Fields) and the edit functions (WithSection) serve user
// interfaces.
package deployment
