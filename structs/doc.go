// Package structs defines the objects and messages that the other packages
// exchange. It contains no I/O and no encoding: the packages under peer convert
// these values to and from wire formats, and package rows converts them to and
// from table rows.
package structs
