// Package held decides how much a node holds for peers that read slowly: which bytes it may take on, which connection it closes
// to make room, and which endpoints get no further requests until they have read earlier ones. It does no I/O.
package held
