// Package process assembles the duties of one gateway or controller process:
// the duties that both roles share (membership, configuration, VM view, the
// project's own listener, the admin address) and those of the role.
package process
