// Package checker judges a configuration before it is published: what would be refused, what has another effect than the file states, and
// what can never be used. It has neither network nor clock. Its findings are advice; hosts accept what they accepted without it.
package checker
