// Package structs holds the typed objects and messages that the other
// packages exchange. It contains no I/O and no encoding: peer packages
// translate these values to and from the wire, package rows to and from
// table rows.
package structs
