// Package process assembles the duties of one gateway or controller process:
// the duties that both roles share (membership, configuration, VM view, peer
// listener, admin address) and the duties of its role.
package process
