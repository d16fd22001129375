// Package ending decides what the end of an answer shows, and how a node that passes an answer on ends its own.
//
// Only the sender of an answer can state that it is whole, by a length or a last chunk (RFC 9112, section 6.3). An answer that
// ends with its connection may be whole or only the beginning. What a node sees besides can show that such an answer was broken
// off, never that it is whole.
package ending
