// Package console is the web interface for operators on the administration address.
// Its forms edit a draft of the deployment document, which is kept in the operator's
// session. Applying the draft validates the whole document and commits it in the same
// way as the configuration API.
package console
